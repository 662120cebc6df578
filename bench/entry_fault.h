#pragma once

#include "measures.h"

namespace dottereltrack::bench {

// Effect of the loss of one entry on the callers of the other entries.
struct EntryFaultMeasures {
  // Share of the jobs that arrive at the other entries in the 5 s after the
  // fault and are answered within their objective: 1.6 times the run time of
  // the longest task on a minion of speed 1, plus 60 ms.
  double in_time_share = 0;
  // The same share for the 10 s before the fault.
  double in_time_share_before = 0;
  friend bool operator==(const EntryFaultMeasures&,
                         const EntryFaultMeasures&) = default;
};

EntryFaultMeasures MeasureEntryFault(const Deployment& deployment,
                                     DisturbanceKind kind, int seeds,
                                     RunSystem run_system);

}  // namespace dottereltrack::bench
