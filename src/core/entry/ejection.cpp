#include "core/entry/ejection.h"

#include <algorithm>
#include <cmath>

#include "core/entry/agent_messages.h"
#include "core/entry/capacity.h"

namespace dottereltrack {
namespace {

// Time after which a counted result weighs 1/e.
constexpr double kMemorySeconds = 10.0;
// The cell's failure rate is taken to be at least this, so that one failure
// among thousands of results ejects nobody.
constexpr double kMinCellRate = 0.01;
// A streak that is less likely than this under the cell's rate ejects.
constexpr double kEjectChance = 1.5e-4;
// One that is less likely than this limits the minion to one task at a time.
constexpr double kSuspectChance = 1.5e-2;
// A minion that fails this share of its results is ejected without a streak.
constexpr double kBadRate = 0.5;
constexpr double kBadRateSamples = 10.0;
constexpr double kBadRateOverCell = 3.0;
// A probe that fails costs a caller its job, so the waits grow quickly.
constexpr seconds kFirstProbe{2};
constexpr seconds kMaxProbeWait{60};
constexpr std::uint32_t kProbesToReturn = 2;
// At most one in this many agents is ejected.
constexpr std::size_t kEjectedShare = 3;

MinionHealth HealthOf(const EntryBoard& board, const std::string& minion) {
  if (const MinionHealth* row = board.minion_health.Find(minion)) return *row;
  MinionHealth health;
  health.minion = minion;
  return health;
}

MinionHealth Counted(MinionHealth health, bool failed, const Now& now) {
  const double age =
      std::chrono::duration<double>(now.boot - health.updated_at).count();
  const double keep = std::exp(-std::max(age, 0.0) / kMemorySeconds);
  health.failures = health.failures * keep + (failed ? 1 : 0);
  health.successes = health.successes * keep + (failed ? 0 : 1);
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  health.updated_at = now.boot;
  return health;
}

double RateOf(const MinionHealth& health) {
  const double all = health.failures + health.successes;
  return all > 0 ? health.failures / all : 0;
}

// How likely the minion's streak is if it fails no more often than the others.
double ChanceOfStreak(const EntryBoard& board, std::uint32_t streak) {
  const MinionHealth* cell = board.minion_health.Find("");
  const double rate = cell == nullptr ? 0 : RateOf(*cell);
  return std::pow(std::max(rate, kMinCellRate), streak);
}

bool HasBadRate(const EntryBoard& board, const MinionHealth& health) {
  const MinionHealth* cell = board.minion_health.Find("");
  const double cell_rate = cell == nullptr ? 0 : RateOf(*cell);
  return health.failures + health.successes >= kBadRateSamples &&
         RateOf(health) >= kBadRate &&
         RateOf(health) >= kBadRateOverCell * cell_rate;
}

// Agents come and go, so the ejected ones are counted when one more is due.
bool MayEjectOneMore(const EntryBoard& board) {
  std::size_t usable = 0;
  std::size_t ejected = 0;
  for (const auto& [id, agent] : board.agents) {
    if (!IsUsable(board, agent)) continue;
    ++usable;
    const MinionHealth* health = board.minion_health.Find(agent.minion.name);
    if (health != nullptr && health->ejected) ++ejected;
  }
  return (ejected + 1) * kEjectedShare <= usable;
}

BootTime ProbeWait(std::uint32_t failed_probes) {
  const auto doublings = std::min<std::uint32_t>(failed_probes, 5);
  return std::min<BootTime>(kFirstProbe * (1 << doublings), kMaxProbeWait);
}

MinionHealth AfterProbe(MinionHealth health, bool failed, const Now& now) {
  if (failed) {
    ++health.failed_probes;
    health.successful_probes = 0;
    health.next_probe_at = now.boot + ProbeWait(health.failed_probes);
    return health;
  }
  if (++health.successful_probes < kProbesToReturn) return health;
  MinionHealth returned;
  returned.minion = health.minion;
  returned.updated_at = now.boot;
  return returned;
}

MinionHealth Judged(const EntryBoard& board, MinionHealth health, bool failed,
                    const Now& now) {
  if (health.ejected) return AfterProbe(std::move(health), failed, now);
  if (!failed) return health;
  const bool bad =
      ChanceOfStreak(board, health.consecutive_failures) < kEjectChance ||
      HasBadRate(board, health);
  if (!bad || !MayEjectOneMore(board)) return health;
  health.ejected = true;
  health.failed_probes = 0;
  health.successful_probes = 0;
  health.next_probe_at = now.boot + ProbeWait(0);
  return health;
}

}  // namespace

std::uint32_t AllowedSlots(const EntryBoard& board, const AgentRow& agent,
                           const Now& now) {
  const MinionHealth* health = board.minion_health.Find(agent.minion.name);
  const std::uint32_t all = SlotLimit(agent.minion);
  if (health == nullptr) return all;
  if (health->ejected) return now.boot >= health->next_probe_at ? 1 : 0;
  const bool suspect =
      health->consecutive_failures > 0 &&
      ChanceOfStreak(board, health->consecutive_failures) < kSuspectChance;
  return suspect ? 1 : all;
}

EntryChanges JudgeResult(const EntryBoard& board, const AgentRow& agent,
                         const TaskResult& result, const Now& now) {
  EntryChanges changes;
  const Task* task = board.tasks.Find(result.id);
  const bool ours = task != nullptr && task->state == TaskState::kSent &&
                    task->agent == agent.id;
  // An unknown end may be a cancellation.
  const bool counts = result.state == LedgerState::kDone ||
                      result.state == LedgerState::kFailed;
  if (!ours || !counts) return changes;
  const bool failed = result.state == LedgerState::kFailed;
  const MinionHealth health =
      Counted(HealthOf(board, agent.minion.name), failed, now);
  changes.Add(Put<MinionHealth>{Judged(board, health, failed, now)});
  // Failures of an ejected minion say nothing about the cell.
  if (!health.ejected) {
    changes.Add(Put<MinionHealth>{Counted(HealthOf(board, ""), failed, now)});
  }
  return changes;
}

}  // namespace dottereltrack
