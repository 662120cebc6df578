#pragma once

#include "scenario.h"

namespace dottereltrack::bench {

// Each entry is in its own data centre; racks are assigned to the data centres
// round robin.
inline int DataCentreOfMinion(const Deployment& where, int minion) {
  return minion / where.minions_per_rack % where.entries;
}

// One-way message delay between an entry and a minion's agent.
inline BootTime DelayBetween(const Deployment& where, int entry, int minion) {
  return DataCentreOfMinion(where, minion) == entry ? where.local_delay
                                                    : where.delay;
}

}  // namespace dottereltrack::bench
