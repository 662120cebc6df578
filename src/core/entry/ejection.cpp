#include "core/entry/ejection.h"

#include <algorithm>
#include <cmath>

#include "core/entry/agent_messages.h"
#include "core/entry/capacity.h"

namespace dottereltrack {
namespace {

// Time constant of the decay: a result of this age counts 1/e.
constexpr double kResultDecaySeconds = 10.0;
// Lower bound for the assumed failure rate of the cell. Without it, a single
// failure among thousands of results would eject a minion.
constexpr double kMinCellFailureRate = 0.01;
// A minion is ejected if its streak of failures is less likely than this at the
// cell's failure rate.
constexpr double kEjectProbability = 1.5e-4;
// A minion is suspected, and limited to one task at a time, if its streak of
// failures is less likely than this.
constexpr double kSuspectProbability = 1.5e-2;
// A minion is also ejected, whatever its streak, if it fails at least this
// share of at least this many results, and at least this many times the cell's
// failure rate.
constexpr double kEjectFailureRate = 0.5;
constexpr double kMinResultsForFailureRate = 10.0;
constexpr double kMinRatioToCellFailureRate = 3.0;
// A failed probe fails a caller's job, so the delay between probes grows
// exponentially.
constexpr seconds kFirstProbeDelay{2};
constexpr seconds kMaxProbeDelay{60};
constexpr std::uint32_t kGoodProbesToReadmit = 2;
// At most one in this many of the agents that may receive work is ejected.
constexpr std::size_t kMinAgentsPerEjection = 3;

MinionHealth HealthOf(const EntryBoard& board, const std::string& minion) {
  if (const MinionHealth* row = board.minion_health.Find(minion)) return *row;
  MinionHealth health;
  health.minion = minion;
  return health;
}

MinionHealth CountResult(MinionHealth health, bool failed, const Now& now) {
  const double age =
      std::chrono::duration<double>(now.boot - health.updated_at).count();
  const double decay = std::exp(-std::max(age, 0.0) / kResultDecaySeconds);
  health.failures = health.failures * decay + (failed ? 1 : 0);
  health.successes = health.successes * decay + (failed ? 0 : 1);
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  health.updated_at = now.boot;
  return health;
}

double FailureRateOf(const MinionHealth& health) {
  const double total = health.failures + health.successes;
  return total > 0 ? health.failures / total : 0;
}

// Returns the probability of that many failures in a row if the minion fails no
// more often than the rest of the cell.
double StreakProbability(const EntryBoard& board, std::uint32_t streak) {
  const MinionHealth* cell = board.minion_health.Find("");
  const double rate = cell == nullptr ? 0 : FailureRateOf(*cell);
  return std::pow(std::max(rate, kMinCellFailureRate), streak);
}

bool HasHighFailureRate(const EntryBoard& board, const MinionHealth& health) {
  const MinionHealth* cell = board.minion_health.Find("");
  const double cell_rate = cell == nullptr ? 0 : FailureRateOf(*cell);
  return health.failures + health.successes >= kMinResultsForFailureRate &&
         FailureRateOf(health) >= kEjectFailureRate &&
         FailureRateOf(health) >= kMinRatioToCellFailureRate * cell_rate;
}

// The set of agents changes, so the ejected agents are counted again for each
// decision.
bool CanEjectOneMore(const EntryBoard& board) {
  std::size_t usable = 0;
  std::size_t ejected = 0;
  for (const auto& [id, agent] : board.agents) {
    if (!CanTakeWork(board, agent)) continue;
    ++usable;
    const MinionHealth* health = board.minion_health.Find(agent.minion.name);
    if (health != nullptr && health->ejected) ++ejected;
  }
  return (ejected + 1) * kMinAgentsPerEjection <= usable;
}

BootTime ProbeDelay(std::uint32_t failed_probes) {
  const auto doublings = std::min<std::uint32_t>(failed_probes, 5);
  return std::min<BootTime>(kFirstProbeDelay * (1 << doublings),
                            kMaxProbeDelay);
}

MinionHealth HealthAfterProbe(MinionHealth health, bool failed,
                              const Now& now) {
  if (failed) {
    ++health.failed_probes;
    health.successful_probes = 0;
    health.next_probe_at = now.boot + ProbeDelay(health.failed_probes);
    return health;
  }
  if (++health.successful_probes < kGoodProbesToReadmit) return health;
  MinionHealth readmitted;
  readmitted.minion = health.minion;
  readmitted.updated_at = now.boot;
  return readmitted;
}

MinionHealth UpdateEjection(const EntryBoard& board, MinionHealth health,
                            bool failed, const Now& now) {
  if (health.ejected) return HealthAfterProbe(std::move(health), failed, now);
  if (!failed) return health;
  const bool exceeds_threshold =
      StreakProbability(board, health.consecutive_failures) <
          kEjectProbability ||
      HasHighFailureRate(board, health);
  if (!exceeds_threshold || !CanEjectOneMore(board)) return health;
  health.ejected = true;
  health.failed_probes = 0;
  health.successful_probes = 0;
  health.next_probe_at = now.boot + ProbeDelay(0);
  return health;
}

}  // namespace

std::uint32_t AllowedSlots(const EntryBoard& board, const AgentRow& agent,
                           const Now& now) {
  const MinionHealth* health = board.minion_health.Find(agent.minion.name);
  const std::uint32_t slot_limit = SlotLimit(agent.minion);
  if (health == nullptr) return slot_limit;
  if (health->ejected) return now.boot >= health->next_probe_at ? 1 : 0;
  const bool is_suspect =
      health->consecutive_failures > 0 &&
      StreakProbability(board, health->consecutive_failures) <
          kSuspectProbability;
  return is_suspect ? 1 : slot_limit;
}

EntryChanges UpdateMinionHealth(const EntryBoard& board, const AgentRow& agent,
                                const TaskResult& result, const Now& now) {
  EntryChanges changes;
  const Task* task = board.tasks.Find(result.id);
  const bool is_current_start = task != nullptr &&
                                task->state == TaskState::kSent &&
                                task->agent == agent.id;
  // Unknown outcomes do not count, because they may be caused by cancellations.
  const bool counts = result.state == LedgerState::kDone ||
                      result.state == LedgerState::kFailed;
  if (!is_current_start || !counts) return changes;
  const bool failed = result.state == LedgerState::kFailed;
  const MinionHealth health =
      CountResult(HealthOf(board, agent.minion.name), failed, now);
  changes.Add(Put<MinionHealth>{UpdateEjection(board, health, failed, now)});
  // Results of an ejected minion say nothing about the failure rate of the
  // cell.
  if (!health.ejected) {
    changes.Add(
        Put<MinionHealth>{CountResult(HealthOf(board, ""), failed, now)});
  }
  return changes;
}

}  // namespace dottereltrack
