// A burst of all queues, as when a data centre of another system fails over.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern BurstOfAllQueues(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "burst_of_all_queues";
  pattern.demand = demand;
  pattern.factors = {1.3, 1.3, 1.3};
  return pattern;
}

}  // namespace dottereltrack::bench
