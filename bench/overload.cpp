#include "overload.h"

#include <algorithm>
#include <vector>

#include "cell_run.h"
#include "ideal.h"
#include "measures.h"
#include "trace.h"

namespace dottereltrack::bench {
namespace {

constexpr BootTime kSettlingTime{seconds{5}};
// Interval over which the mean response is compared to detect recovery.
constexpr BootTime kRecoveryInterval{seconds{1}};

// Mean response in seconds of the jobs that arrived in [from, until). A job
// without a complete answer counts with its deadline.
double MeanResponseOfArrivals(const Trace& trace,
                              const std::vector<JobResult>& jobs, BootTime from,
                              BootTime until) {
  double sum = 0;
  double n = 0;
  for (std::size_t i = 0; i < trace.size(); ++i) {
    if (trace[i].at < from || trace[i].at >= until) continue;
    sum += static_cast<double>(jobs[i].response.count()) * 1e-6;
    ++n;
  }
  return n > 0 ? sum / n : 0;
}

double RecoveryTime(const Scenario& scenario, const Trace& trace,
                    const std::vector<JobResult>& jobs) {
  // The reference is the ideal scheduler without the preceding overload.
  Scenario reference = scenario;
  reference.burst_until = reference.burst_from;
  const Trace reference_trace = MakeTrace(reference, 1);
  const double reference_mean =
      ComputeResponseTimes(RunIdeal(reference, reference_trace)).mean;
  BootTime recovered = scenario.burst_until;
  for (BootTime at = scenario.burst_until; at < scenario.duration;
       at += kRecoveryInterval) {
    if (MeanResponseOfArrivals(trace, jobs, at, at + kRecoveryInterval) >
        2 * reference_mean) {
      recovered = at + kRecoveryInterval;
    }
  }
  return static_cast<double>((recovered - scenario.burst_until).count()) * 1e-6;
}

}  // namespace

OverloadMeasures MeasureOverload(const Deployment& deployment, int seeds) {
  const Scenario scenario = OverloadScenario(deployment);
  OverloadMeasures result;
  std::vector<JobResult> complete;
  double arrived = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Trace trace = MakeTrace(scenario, seed);
    const CellRun run = RunCell(scenario, trace, seed);
    result.goodput +=
        Goodput(scenario, trace, run.jobs, scenario.burst_from + kSettlingTime,
                scenario.burst_until) /
        seeds;
    result.recovery_s =
        std::max(result.recovery_s, RecoveryTime(scenario, trace, run.jobs));
    for (std::size_t n = 0; n < trace.size(); ++n) {
      const BootTime at = trace[n].at;
      if (at < scenario.burst_from || at >= scenario.burst_until) continue;
      ++arrived;
      if (run.jobs[n].complete) complete.push_back(run.jobs[n]);
      if (run.jobs[n].refused) ++result.refused_share;
    }
  }
  const auto done = static_cast<double>(complete.size());
  result.failed_share = (arrived - done - result.refused_share) / arrived;
  result.refused_share /= arrived;
  result.p99 = ComputeResponseTimes(complete).p99;
  return result;
}

}  // namespace dottereltrack::bench
