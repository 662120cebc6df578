#pragma once

#include "scenario.h"

namespace dottereltrack::bench {

// Each entry is in its own data centre; racks are assigned to the data centres
// round robin.
inline int DataCentreOfMinion(const Deployment& deployment, int minion) {
  return minion / deployment.minions_per_rack % deployment.entries;
}

// One-way message delay between an entry and a minion's agent.
inline BootTime DelayBetween(const Deployment& deployment, int entry,
                             int minion) {
  return DataCentreOfMinion(deployment, minion) == entry
             ? deployment.local_delay
             : deployment.delay;
}

}  // namespace dottereltrack::bench
