#include "entry_fault.h"

#include <algorithm>

namespace dottereltrack::bench {
namespace {

constexpr BootTime kTimeBeforeFault{seconds{10}};
constexpr BootTime kTimeAfterFault{seconds{5}};

// Number of jobs in an interval, and of those answered within the objective.
struct JobCounts {
  double arrived = 0;
  double in_time = 0;

  void Add(const TraceJob& job, const JobResult& result) {
    ++arrived;
    if (result.complete && result.response <= ObjectiveOf(job)) ++in_time;
  }
  double Share() const { return arrived > 0 ? in_time / arrived : 0; }
};

}  // namespace

EntryFaultMeasures MeasureEntryFault(const Deployment& deployment,
                                     DisturbanceKind kind, int seeds,
                                     RunSystem run_system) {
  const Scenario scenario = EntryFaultScenario(deployment, kind);
  const BootTime fault_at = scenario.disturbances.front().at;
  JobCounts before;
  JobCounts after;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Trace trace = MakeTrace(scenario, seed);
    const CellRun run = run_system(scenario, trace, seed);
    for (std::size_t n = 0; n < trace.size(); ++n) {
      const BootTime at = trace[n].at;
      if (trace[n].entry == run.faulted_entry) continue;
      if (at >= fault_at - kTimeBeforeFault && at < fault_at) {
        before.Add(trace[n], run.jobs[n]);
      } else if (at >= fault_at && at < fault_at + kTimeAfterFault) {
        after.Add(trace[n], run.jobs[n]);
      }
    }
  }
  return {after.Share(), before.Share()};
}

}  // namespace dottereltrack::bench
