// Most clients use one entry, as after a failover of the load balancer. Its
// view of the free resources is exact, the views of the others are not.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern OneBusyEntry(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "one_busy_entry";
  pattern.demand = demand;
  pattern.factors = {1, 1, 1};
  pattern.first_entry_share = 0.7;
  return pattern;
}

}  // namespace dottereltrack::bench
