#include "measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "baselines.h"
#include "ideal.h"

namespace dottereltrack::bench {
namespace {

void Append(const std::vector<JobResult>& from, std::vector<JobResult>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

double IncompleteShare(const std::vector<JobResult>& jobs) {
  double measured = 0;
  double incomplete = 0;
  for (const JobResult& job : jobs) {
    if (!job.measured) continue;
    ++measured;
    if (!job.complete) ++incomplete;
  }
  return Ratio(incomplete, measured);
}

}  // namespace

ResponseTimes ComputeResponseTimes(const std::vector<JobResult>& jobs) {
  std::vector<double> times;
  for (const JobResult& job : jobs) {
    if (job.measured) times.push_back(job.response.count() * 1e-6);
  }
  if (times.empty()) return {};
  std::sort(times.begin(), times.end());
  const auto n = static_cast<double>(times.size());
  ResponseTimes response_times;
  response_times.mean = std::accumulate(times.begin(), times.end(), 0.0) / n;
  response_times.p99 = times[static_cast<std::size_t>(std::ceil(0.99 * n)) - 1];
  return response_times;
}

Measures Measure(const Scenario& scenario, int seeds, RunSystem run_system) {
  Measures result;
  result.scenario = scenario.name;
  std::vector<JobResult> measured;
  std::vector<JobResult> ideal;
  std::vector<JobResult> unloaded;
  std::vector<std::vector<JobResult>> baselines(AllBaselines().size());
  testing::MessageTally messages;
  std::uint64_t store_calls = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Trace trace = MakeTrace(scenario, seed);
    const CellRun run = run_system(scenario, trace, seed);
    Append(run.jobs, &measured);
    Append(RunIdeal(scenario, trace), &ideal);
    Append(RunUnloadedIdeal(scenario, trace), &unloaded);
    for (std::size_t n = 0; n < baselines.size(); ++n) {
      Append(RunBaseline(scenario, trace, AllBaselines()[n].choose),
             &baselines[n]);
    }
    messages.useful += run.messages.useful;
    messages.wasted += run.messages.wasted;
    store_calls += run.store_calls;
    result.tasks += run.completed_tasks;
    result.double_starts += run.double_starts;
    result.overcommitted_slots += run.overcommitted_slots;
  }
  result.jobs = measured.size();
  result.measured = ComputeResponseTimes(measured);
  result.ideal = ComputeResponseTimes(ideal);
  result.unloaded_ideal = ComputeResponseTimes(unloaded);
  result.mean_ratio = Ratio(result.measured.mean, result.ideal.mean);
  result.p99_ratio = Ratio(result.measured.p99, result.ideal.p99);
  for (std::size_t n = 0; n < baselines.size(); ++n) {
    result.baselines.push_back(
        {AllBaselines()[n].name, ComputeResponseTimes(baselines[n])});
  }
  result.incomplete = IncompleteShare(measured);
  const auto tasks = static_cast<double>(result.tasks);
  result.useful_per_task = Ratio(static_cast<double>(messages.useful), tasks);
  result.wasted_per_task =
      Ratio(static_cast<double>(messages.wasted + store_calls), tasks);
  result.store_calls_per_task = Ratio(static_cast<double>(store_calls), tasks);
  return result;
}

double Goodput(const Scenario& scenario, const Trace& trace,
               const std::vector<JobResult>& jobs, BootTime from,
               BootTime until) {
  double work = 0;
  for (std::size_t n = 0; n < trace.size(); ++n) {
    const JobResult& job = jobs[n];
    if (!job.complete || job.ended_at < from || job.ended_at >= until) continue;
    work += static_cast<double>(WorkOf(trace[n]).count());
  }
  return work / (TotalSpeed(scenario.deployment) *
                 static_cast<double>((until - from).count()));
}

}  // namespace dottereltrack::bench
