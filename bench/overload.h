#pragma once

#include "scenario.h"

namespace dottereltrack::bench {

// How the cell did while twice its capacity was offered, and after.
struct OverloadMeasures {
  // Work of complete jobs over the capacity, from 5 s after the begin of the
  // overload to its end.
  double goodput = 0;
  // Shares of the jobs that arrived during the overload.
  double refused = 0;
  double failed = 0;
  // Of the complete jobs that arrived during the overload, in seconds.
  double p99 = 0;
  // From the end of the overload to the last arrival that took more than twice
  // the time that the ideal scheduler needs at the load after it.
  double recovery_s = 0;
  friend bool operator==(const OverloadMeasures&,
                         const OverloadMeasures&) = default;
};

OverloadMeasures MeasureOverload(const Deployment& deployment, int seeds);

}  // namespace dottereltrack::bench
