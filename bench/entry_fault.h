#pragma once

#include "measures.h"

namespace dottereltrack::bench {

// What the loss of one entry costs the callers of the others.
struct EntryFaultMeasures {
  // Share of the jobs that arrive at the other entries in the 5 s after the
  // fault and are answered within their objective: 1.6 times the longest task
  // on a minion of speed 1, and 60 ms.
  double in_time = 0;
  // The same in the 10 s before the fault.
  double in_time_before = 0;
  friend bool operator==(const EntryFaultMeasures&,
                         const EntryFaultMeasures&) = default;
};

EntryFaultMeasures MeasureEntryFault(const Deployment& deployment,
                                     DisturbanceKind kind, int seeds,
                                     RunSystem run_system);

}  // namespace dottereltrack::bench
