#pragma once

#include "scenario.h"

namespace dottereltrack::bench {

// Behaviour of the cell during and after an offered load of twice its capacity.
struct OverloadMeasures {
  // Work of complete jobs divided by the capacity, from 5 s after the start of
  // the overload to its end.
  double goodput = 0;
  // As shares of the jobs that arrived during the overload.
  double refused_share = 0;
  double failed_share = 0;
  // 99th percentile of the response, in seconds, of the complete jobs that
  // arrived during the overload.
  double p99 = 0;
  // Time from the end of the overload to the end of the last 1 s interval of
  // arrivals whose mean response was more than twice that of the ideal
  // scheduler at the load that follows the overload. The worst of all seeds.
  double recovery_s = 0;
  friend bool operator==(const OverloadMeasures&,
                         const OverloadMeasures&) = default;
};

OverloadMeasures MeasureOverload(const Deployment& deployment, int seeds);

}  // namespace dottereltrack::bench
