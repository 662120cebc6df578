// A burst of the queue with the longest tasks while some minions execute part
// of the starts seconds late, without an answer.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern LateStarts(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "late_starts";
  pattern.demand = demand;
  pattern.factors = {1, 1, 2.1};
  constexpr double kLateShare = 0.3;
  for (int n = 1; n < demand.deployment.minions; n += 8) {
    pattern.disturbances.push_back(
        {pattern.from, DisturbanceKind::kMinionStartsLate, n, kLateShare});
    pattern.disturbances.push_back(
        {pattern.until, DisturbanceKind::kMinionStartsLate, n, 0.0});
  }
  return pattern;
}

}  // namespace dottereltrack::bench
