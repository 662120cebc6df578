#include "core/pool/entry/minion_choice.h"

#include <limits>

namespace dottereltrack::pool {
namespace {

// The cost of a minion on which the task has failed before is multiplied by
// this, so that it is chosen only if no other has enough free resources.
constexpr double kFailedBeforeCostFactor = 100;
// The same for a minion that misses starts, if the task has no time for a
// second one. It is not ruled out: the agent notices a lost start within 40 ms,
// and reliable minions would be full if only they took tasks with short goals.
constexpr double kMissedStartCostFactor = 10;
constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

double CostOfStart(const StartDemand& task, const MinionOption& minion) {
  if (minion.is_forbidden || !Fits(task.needs, minion.free)) return kNever;
  const double slowness = minion.slowness * minion.remote_factor;
  const bool has_time_for_loss = slowness <= task.max_slowness_after_loss;
  if (slowness > task.max_slowness) return kNever;
  if (minion.is_silent && !has_time_for_loss) return kNever;
  // Two suspect tasks on one minion could not be told apart after a crash.
  if (task.is_suspect && minion.has_suspect) return kNever;
  double cost = task.is_suspect ? 1 + minion.used_share : slowness;
  if (minion.misses_starts && !has_time_for_loss) {
    cost *= kMissedStartCostFactor;
  }
  return minion.has_failed_task ? cost * kFailedBeforeCostFactor : cost;
}

}  // namespace dottereltrack::pool
