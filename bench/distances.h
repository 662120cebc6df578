#pragma once

#include "scenario.h"

namespace dottereltrack::bench {

// Each entry stands in its own data centre, and the racks take turns.
inline int DataCentreOfMinion(const Deployment& where, int minion) {
  return minion / where.minions_per_rack % where.entries;
}

// One-way delay between an entry and a minion's agent.
inline BootTime DelayBetween(const Deployment& where, int entry, int minion) {
  return DataCentreOfMinion(where, minion) == entry ? where.local_delay
                                                    : where.delay;
}

}  // namespace dottereltrack::bench
