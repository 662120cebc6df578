// More work than all minions can do, as after the loss of a data centre in a
// burst: only refusals bound the waiting time.

#include "shortage/pattern.h"

namespace dottereltrack::bench {

LoadPattern SevereOverload(const Demand& demand) {
  LoadPattern pattern;
  pattern.name = "severe_overload";
  pattern.demand = demand;
  pattern.factors = {3, 3, 3};
  return pattern;
}

}  // namespace dottereltrack::bench
