#include "shortage/measure.h"

#include <algorithm>

#include "ideal.h"

namespace dottereltrack::bench {
namespace {

void AddJob(const TraceJob& job, const JobResult& result, QueueOutcome* it) {
  ++it->jobs;
  if (!result.complete || result.response > job.deadline) {
    ++it->failed;
    if (!result.refused) return;
    ++it->refused;
    const double age = static_cast<double>((result.ended_at - job.at).count()) /
                       static_cast<double>(BootTime{job.deadline}.count());
    it->refusal_age += age;
    it->max_refusal_age = std::max(it->max_refusal_age, age);
  } else if (result.response > ObjectiveOf(job)) {
    ++it->late;
  }
}

}  // namespace

CellRun RunIdealSchedule(const Scenario& scenario, const Trace& trace,
                         std::uint64_t) {
  CellRun run;
  run.jobs = RunIdeal(scenario, trace);
  return run;
}

PatternOutcome MeasurePattern(const LoadPattern& pattern, int seeds,
                              RunSystem run_system) {
  const Scenario scenario = ScenarioOf(pattern);
  const auto& loads = pattern.demand.queues;
  PatternOutcome outcome;
  for (const QueueLoad& load : loads) {
    QueueOutcome queue;
    queue.queue = load.queue.name;
    outcome.queues.push_back(queue);
  }
  for (int seed = 1; seed <= seeds; ++seed) {
    const Trace trace = MakeArrivals(pattern, seed);
    const CellRun run = run_system(scenario, trace, seed);
    outcome.double_starts += run.double_starts;
    for (std::size_t n = 0; n < trace.size(); ++n) {
      const TraceJob& job = trace[n];
      if (job.at < pattern.from || job.at >= pattern.until) continue;
      const auto queue = std::find_if(
          outcome.queues.begin(), outcome.queues.end(),
          [&](const QueueOutcome& it) { return it.queue == job.kind; });
      AddJob(job, run.jobs[n], &*queue);
    }
  }
  double best = 0;
  double value = 0;
  for (std::size_t n = 0; n < loads.size(); ++n) {
    QueueOutcome& it = outcome.queues[n];
    const double in_time = it.jobs - it.late - it.failed;
    const double earned =
        in_time * loads[n].value_in_time + it.late * loads[n].value_late;
    value += earned;
    best += it.jobs * loads[n].value_in_time;
    it.value = earned / (it.jobs * loads[n].value_in_time);
    it.late /= it.jobs;
    it.failed /= it.jobs;
    if (it.refused > 0) it.refusal_age /= it.refused;
    it.refused /= it.jobs;
  }
  outcome.value = value / best;
  return outcome;
}

}  // namespace dottereltrack::bench
