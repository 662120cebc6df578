// A burst of the queue with the longest tasks, beside steady others: its tasks
// occupy the fast minions for seconds.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern BurstOfLongTasks(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "burst_of_long_tasks";
  pattern.demand = demand;
  pattern.factors = {1, 1, 2.1};
  return pattern;
}

}  // namespace dottereltrack::bench
