// A burst of the queue with the shortest tasks, eight a job.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern BurstOfShortTasks(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "burst_of_short_tasks";
  pattern.demand = demand;
  pattern.factors = {1.6, 1, 1};
  return pattern;
}

}  // namespace dottereltrack::bench
