#include "core/pool/entry/minion_choice.h"

#include <limits>

namespace dottereltrack::pool {
namespace {

// The cost of a minion on which the task has failed before is multiplied by
// this, so that it is chosen only if no other has enough free resources.
constexpr double kFailedBeforeCostFactor = 100;
constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

double CostOfStart(const StartDemand& task, const MinionOption& minion) {
  if (!Fits(task.needs, minion.free)) return kNever;
  const double max_slowness =
      minion.may_lose_starts ? task.max_slowness_after_loss : task.max_slowness;
  if (minion.slowness > max_slowness) return kNever;
  // Two suspect tasks on one minion could not be told apart after a crash.
  if (task.is_suspect && minion.has_suspect) return kNever;
  const double cost = task.is_suspect ? 1 + minion.used_share : minion.slowness;
  return minion.has_failed_task ? cost * kFailedBeforeCostFactor : cost;
}

}  // namespace dottereltrack::pool
