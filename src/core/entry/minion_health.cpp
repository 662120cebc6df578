#include "core/entry/minion_health.h"

#include <algorithm>
#include <cmath>

namespace dottereltrack {
namespace {

// An average covers at most about this much expected run time, so that it
// follows a minion that becomes slow within some ten tasks.
constexpr double kMaxWeightSeconds = 4.0;
// The same for the rows of kinds and of all work, which many minions feed.
constexpr double kMaxSharedWeightSeconds = 40.0;
// A row with this weight counts as much as what is known without it.
constexpr double kTrustSeconds = 2.0;
// Time after which an estimate has lost 1/e of its distance from 1.
constexpr double kMemorySeconds = 120.0;
// Declared times are corrected by at most this factor in either direction.
constexpr double kMaxCorrection = 8.0;
// Kinds are named by callers; new ones beyond this many rows are not learned.
constexpr std::size_t kMaxRows = 20'000;

double SecondsSince(BootTime then, const Now& now) {
  return std::chrono::duration<double>(now.boot - then).count();
}

double Bounded(double ratio) {
  return std::clamp(ratio, 1 / kMaxCorrection, kMaxCorrection);
}

// The row's ratio, nearer to 1 the older it is.
double Aged(const MinionSpeed& row, const Now& now) {
  const double keep =
      std::exp(-SecondsSince(row.updated_at, now) / kMemorySeconds);
  return std::pow(row.time_ratio, keep);
}

double RatioOfRow(const EntryBoard& board, const std::string& minion,
                  const std::string& kind, const Now& now) {
  const MinionSpeed* row = board.minion_speeds.Find({minion, kind});
  return row == nullptr ? 1.0 : Aged(*row, now);
}

MinionSpeed Learned(const EntryBoard& board, const std::string& minion,
                    const std::string& kind, double expected, double taken,
                    const Now& now) {
  MinionSpeed row;
  row.minion = minion;
  row.kind = kind;
  if (const MinionSpeed* old = board.minion_speeds.Find(row.Key())) {
    row.weight_seconds = old->weight_seconds;
    row.time_ratio = Aged(*old, now);
  }
  const double ratio = Bounded(taken / expected);
  const double share = expected / (row.weight_seconds + expected);
  row.time_ratio += share * (ratio - row.time_ratio);
  row.weight_seconds =
      std::min(row.weight_seconds + expected,
               minion.empty() ? kMaxSharedWeightSeconds : kMaxWeightSeconds);
  row.updated_at = now.boot;
  return row;
}

}  // namespace

double KindRatioOf(const EntryBoard& board, const std::string& kind,
                   const Now& now) {
  return RatioOfRow(board, "", kind, now);
}

double TimeRatioOf(const EntryBoard& board, const std::string& minion,
                   const std::string& kind, const Now& now) {
  const double general = Bounded(KindRatioOf(board, kind, now) *
                                 RatioOfRow(board, minion, "", now));
  const MinionSpeed* row = board.minion_speeds.Find({minion, kind});
  if (row == nullptr) return general;
  const double trust =
      row->weight_seconds / (row->weight_seconds + kTrustSeconds);
  return Bounded(std::pow(general, 1 - trust) *
                 std::pow(Aged(*row, now), trust));
}

EntryChanges LearnFromResult(const EntryBoard& board, const AgentRow& agent,
                             const TaskResult& result, const Now& now) {
  EntryChanges changes;
  const Task* task = board.tasks.Find(result.id);
  const bool ours = task != nullptr && task->state == TaskState::kSent &&
                    task->agent == agent.id;
  if (!ours || result.state != LedgerState::kDone) return changes;
  const Job& job = *board.jobs.Find(result.id.submission);
  const std::string& kind = job.body->kind;
  const std::string& minion = agent.minion.name;
  const double declared =
      std::max(std::chrono::duration<double>(
                   job.body->tasks[result.id.index].declared_time)
                   .count(),
               1e-3);
  const double taken = std::chrono::duration<double>(result.run_time).count();
  const double of_kind = declared * KindRatioOf(board, kind, now);
  changes.Add(
      Put<MinionSpeed>{Learned(board, minion, "", of_kind, taken, now)});
  changes.Add(Put<MinionSpeed>{Learned(board, "", "", declared, taken, now)});
  const bool room = board.minion_speeds.size() < kMaxRows;
  if (kind.empty()) return changes;
  if (room || board.minion_speeds.Contains({"", kind})) {
    const double of_minion = declared * RatioOfRow(board, minion, "", now);
    changes.Add(
        Put<MinionSpeed>{Learned(board, "", kind, of_minion, taken, now)});
  }
  if (room || board.minion_speeds.Contains({minion, kind})) {
    changes.Add(
        Put<MinionSpeed>{Learned(board, minion, kind, declared, taken, now)});
  }
  return changes;
}

}  // namespace dottereltrack
