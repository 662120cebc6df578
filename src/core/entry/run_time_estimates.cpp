#include "core/entry/run_time_estimates.h"

#include <algorithm>
#include <cmath>

namespace dottereltrack {
namespace {

// Upper bound for the weight of an estimate, in seconds of expected run time.
// With this bound, the estimate adapts within about ten tasks when a minion
// becomes slow.
constexpr double kMaxWeightSeconds = 4.0;
// The same bound for the estimates of a kind and of all work, which collect
// samples from many minions.
constexpr double kMaxSharedWeightSeconds = 40.0;
// An estimate for a minion and kind with this weight counts as much as the
// general estimate derived from the minion and the kind separately.
constexpr double kGeneralEstimateWeightSeconds = 2.0;
// Time constant of the decay of an estimate towards 1: after this time its
// logarithm has shrunk to 1/e.
constexpr double kEstimateDecaySeconds = 120.0;
// Declared times are corrected by at most this factor in either direction.
constexpr double kMaxCorrection = 8.0;
// Callers choose the names of kinds, so the number of rows is bounded: once
// there are this many, no rows are added for further kinds.
constexpr std::size_t kMaxRows = 20'000;

double SecondsSince(BootTime then, const Now& now) {
  return std::chrono::duration<double>(now.boot - then).count();
}

double ClampRatio(double ratio) {
  return std::clamp(ratio, 1 / kMaxCorrection, kMaxCorrection);
}

// Returns the ratio of the row, decayed towards 1 by its age.
double DecayedRatio(const MinionSpeed& row, const Now& now) {
  const double decay =
      std::exp(-SecondsSince(row.updated_at, now) / kEstimateDecaySeconds);
  return std::pow(row.time_ratio, decay);
}

double StoredRatio(const EntryBoard& board, const std::string& minion,
                   const std::string& kind, const Now& now) {
  const MinionSpeed* row = board.minion_speeds.Find({minion, kind});
  return row == nullptr ? 1.0 : DecayedRatio(*row, now);
}

MinionSpeed UpdatedEstimate(const EntryBoard& board, const std::string& minion,
                            const std::string& kind, double expected_seconds,
                            double actual_seconds, const Now& now) {
  MinionSpeed row;
  row.minion = minion;
  row.kind = kind;
  if (const MinionSpeed* old = board.minion_speeds.Find(row.Key())) {
    row.weight_seconds = old->weight_seconds;
    row.time_ratio = DecayedRatio(*old, now);
  }
  const double ratio = ClampRatio(actual_seconds / expected_seconds);
  const double sample_weight =
      expected_seconds / (row.weight_seconds + expected_seconds);
  row.time_ratio += sample_weight * (ratio - row.time_ratio);
  row.weight_seconds =
      std::min(row.weight_seconds + expected_seconds,
               minion.empty() ? kMaxSharedWeightSeconds : kMaxWeightSeconds);
  row.updated_at = now.boot;
  return row;
}

}  // namespace

double EstimatedKindTimeRatio(const EntryBoard& board, const std::string& kind,
                              const Now& now) {
  return StoredRatio(board, "", kind, now);
}

double EstimatedTimeRatio(const EntryBoard& board, const std::string& minion,
                          const std::string& kind, const Now& now) {
  const double general_ratio =
      ClampRatio(EstimatedKindTimeRatio(board, kind, now) *
                 StoredRatio(board, minion, "", now));
  const MinionSpeed* row = board.minion_speeds.Find({minion, kind});
  if (row == nullptr) return general_ratio;
  const double own_weight =
      row->weight_seconds /
      (row->weight_seconds + kGeneralEstimateWeightSeconds);
  return ClampRatio(std::pow(general_ratio, 1 - own_weight) *
                    std::pow(DecayedRatio(*row, now), own_weight));
}

EntryChanges UpdateRunTimeEstimates(const EntryBoard& board,
                                    const AgentRow& agent,
                                    const TaskResult& result, const Now& now) {
  EntryChanges changes;
  const Task* task = board.tasks.Find(result.id);
  const bool is_current_start = task != nullptr &&
                                task->state == TaskState::kSent &&
                                task->agent == agent.id;
  if (!is_current_start || result.state != LedgerState::kDone) return changes;
  const Job& job = *board.jobs.Find(result.id.submission);
  const std::string& kind = job.body->kind;
  const std::string& minion = agent.minion.name;
  const double declared_seconds =
      std::max(std::chrono::duration<double>(
                   job.body->tasks[result.id.index].declared_time)
                   .count(),
               1e-3);
  const double actual_seconds =
      std::chrono::duration<double>(result.run_time).count();
  const double expected_for_kind =
      declared_seconds * EstimatedKindTimeRatio(board, kind, now);
  changes.Add(Put<MinionSpeed>{UpdatedEstimate(
      board, minion, "", expected_for_kind, actual_seconds, now)});
  changes.Add(Put<MinionSpeed>{
      UpdatedEstimate(board, "", "", declared_seconds, actual_seconds, now)});
  const bool has_room = board.minion_speeds.size() < kMaxRows;
  if (kind.empty()) return changes;
  if (has_room || board.minion_speeds.Contains({"", kind})) {
    const double expected_for_minion =
        declared_seconds * StoredRatio(board, minion, "", now);
    changes.Add(Put<MinionSpeed>{UpdatedEstimate(
        board, "", kind, expected_for_minion, actual_seconds, now)});
  }
  if (has_room || board.minion_speeds.Contains({minion, kind})) {
    changes.Add(Put<MinionSpeed>{UpdatedEstimate(
        board, minion, kind, declared_seconds, actual_seconds, now)});
  }
  return changes;
}

}  // namespace dottereltrack
