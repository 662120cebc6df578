#include "core/entry/minion_health.h"

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
constexpr double kTrustSeconds = 2.0;
// Time constant of the decay of an estimate towards 1: after this time its
// logarithm has shrunk to 1/e.
constexpr double kMemorySeconds = 120.0;
// Declared times are corrected by at most this factor in either direction.
constexpr double kMaxCorrection = 8.0;
// Callers choose the names of kinds, so the number of rows is bounded: once
// there are this many, no rows are added for further kinds.
constexpr std::size_t kMaxRows = 20'000;

double SecondsSince(BootTime then, const Now& now) {
  return std::chrono::duration<double>(now.boot - then).count();
}

double Bounded(double ratio) {
  return std::clamp(ratio, 1 / kMaxCorrection, kMaxCorrection);
}

// Returns the ratio of the row, decayed towards 1 by its age.
double Aged(const MinionSpeed& row, const Now& now) {
  const double keep =
      std::exp(-SecondsSince(row.updated_at, now) / kMemorySeconds);
  return std::pow(row.time_ratio, keep);
}

double RatioOfRow(const EntryBoard& board, const std::string& minion,
                  const std::string& kind, const Now& now) {
  const MinionSpeed* row = board.speeds.Find({minion, kind});
  return row == nullptr ? 1.0 : Aged(*row, now);
}

MinionSpeed Learned(const EntryBoard& board, const std::string& minion,
                    const std::string& kind, double expected, double taken,
                    const Now& now) {
  MinionSpeed row;
  row.minion = minion;
  row.kind = kind;
  if (const MinionSpeed* old = board.speeds.Find(row.Key())) {
    row.weight = old->weight;
    row.time_ratio = Aged(*old, now);
  }
  const double ratio = Bounded(taken / expected);
  const double share = expected / (row.weight + expected);
  row.time_ratio += share * (ratio - row.time_ratio);
  row.weight =
      std::min(row.weight + expected,
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
  const MinionSpeed* row = board.speeds.Find({minion, kind});
  if (row == nullptr) return general;
  const double trust = row->weight / (row->weight + kTrustSeconds);
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
  const bool room = board.speeds.size() < kMaxRows;
  if (kind.empty()) return changes;
  if (room || board.speeds.Contains({"", kind})) {
    const double of_minion = declared * RatioOfRow(board, minion, "", now);
    changes.Add(
        Put<MinionSpeed>{Learned(board, "", kind, of_minion, taken, now)});
  }
  if (room || board.speeds.Contains({minion, kind})) {
    changes.Add(
        Put<MinionSpeed>{Learned(board, minion, kind, declared, taken, now)});
  }
  return changes;
}

}  // namespace dottereltrack
