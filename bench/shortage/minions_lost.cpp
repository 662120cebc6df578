// A third of the minions are lost and return when the period ends.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern MinionsLost(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "minions_lost";
  pattern.demand = demand;
  pattern.factors = {1, 1, 1};
  for (int n = 0; n < demand.deployment.minions; n += 3) {
    pattern.disturbances.push_back(
        {pattern.from, DisturbanceKind::kMinionLost, n, 1.0});
    pattern.disturbances.push_back(
        {pattern.until, DisturbanceKind::kMinionReturns, n, 1.0});
  }
  return pattern;
}

}  // namespace dottereltrack::bench
