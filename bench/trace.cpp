#include "trace.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "random_generator.h"

namespace dottereltrack::bench {
namespace {

// Run times in ms: most are short, a few take seconds.
constexpr double kMinRunTimeMs = 50;
constexpr double kMaxShortRunTimeMs = 1'000;
constexpr double kMaxRunTimeMs = 4'000;
constexpr double kLongTaskShare = 0.05;
constexpr double kSmallErrorFactor = 1.25;
constexpr double kLargeErrorFactor = 3.0;
constexpr std::uint32_t kLargeJobTasks = 1'100;
constexpr double kObjectiveStretch = 1.6;
constexpr BootTime kTargetLatency{milliseconds{60}};

double MeanOfLogUniform(double low, double high) {
  return (high - low) / std::log(high / low);
}

double MeanWorkMs() {
  return (1 - kLongTaskShare) *
             MeanOfLogUniform(kMinRunTimeMs, kMaxShortRunTimeMs) +
         kLongTaskShare * MeanOfLogUniform(kMaxShortRunTimeMs, kMaxRunTimeMs);
}

double ErrorFactor(const Scenario& scenario, bool declared_long,
                   RandomGenerator* random) {
  switch (scenario.declared_error) {
    case DeclaredError::kThreefoldPerKind:
      return declared_long ? kLargeErrorFactor : 1 / kLargeErrorFactor;
    case DeclaredError::kThreefoldPerTask:
      return random->UniformBelow(2) == 0 ? kLargeErrorFactor
                                          : 1 / kLargeErrorFactor;
    case DeclaredError::kSmall:
      break;
  }
  return random->LogUniform(1 / kSmallErrorFactor, kSmallErrorFactor);
}

TraceTask MakeTask(const Scenario& scenario, bool declared_long,
                   RandomGenerator* random) {
  const double ms = random->Uniform() < kLongTaskShare
                        ? random->LogUniform(kMaxShortRunTimeMs, kMaxRunTimeMs)
                        : random->LogUniform(kMinRunTimeMs, kMaxShortRunTimeMs);
  const double error = ErrorFactor(scenario, declared_long, random);
  TraceTask task;
  // Whole milliseconds, because the payload gives the run time in milliseconds.
  task.work = milliseconds{std::llround(ms)};
  task.declared =
      milliseconds{std::max<std::int64_t>(1, std::llround(ms * error))};
  return task;
}

const TeamShare& PickTeam(const Scenario& scenario, RandomGenerator* random) {
  double remaining_share = random->Uniform();
  for (const TeamShare& team : scenario.teams) {
    if (remaining_share < team.share) return team;
    remaining_share -= team.share;
  }
  return scenario.teams.back();
}

TraceJob MakeJob(const Scenario& scenario, BootTime at, std::uint32_t tasks,
                 RandomGenerator* random) {
  TraceJob job;
  job.at = at;
  job.entry = static_cast<int>(random->UniformBelow(
      static_cast<std::uint64_t>(scenario.deployment.entries)));
  job.team = PickTeam(scenario, random).name;
  const bool declared_long = random->UniformBelow(2) == 0;
  job.kind = declared_long ? "resize" : "render";
  job.deadline = scenario.deadline;
  for (std::uint32_t n = 0; n < tasks; ++n) {
    job.tasks.push_back(MakeTask(scenario, declared_long, random));
  }
  const bool is_before_cancellation =
      at < scenario.cancel_at && at + seconds{1} >= scenario.cancel_at;
  if (is_before_cancellation && random->UniformBelow(2) == 0)
    job.cancel_at = scenario.cancel_at;
  return job;
}

double LoadAt(const Scenario& scenario, BootTime at) {
  const bool is_burst = at >= scenario.burst_from && at < scenario.burst_until;
  return is_burst ? scenario.burst_load : scenario.load;
}

}  // namespace

Trace MakeTrace(const Scenario& scenario, std::uint64_t seed) {
  RandomGenerator random(seed * 0x9e3779b97f4a7c15ULL + 1);
  const double jobs_per_us_at_capacity =
      TotalSpeed(scenario.deployment) /
      (scenario.mean_tasks_per_job * MeanWorkMs() * 1'000);
  Trace trace;
  double at = 0;
  while (true) {
    const double load =
        LoadAt(scenario, BootTime{static_cast<std::int64_t>(at)});
    at += random.Exponential(1 / (load * jobs_per_us_at_capacity));
    const BootTime arrival{static_cast<std::int64_t>(at)};
    if (arrival >= scenario.duration) break;
    trace.push_back(MakeJob(scenario, arrival,
                            random.GeometricSize(scenario.mean_tasks_per_job),
                            &random));
  }
  for (const BootTime arrival : scenario.large_jobs) {
    trace.push_back(MakeJob(scenario, arrival, kLargeJobTasks, &random));
  }
  std::stable_sort(
      trace.begin(), trace.end(),
      [](const TraceJob& a, const TraceJob& b) { return a.at < b.at; });
  return trace;
}

BootTime WorkOf(const TraceJob& job) {
  return std::accumulate(
      job.tasks.begin(), job.tasks.end(), BootTime{0},
      [](BootTime sum, const TraceTask& task) { return sum + task.work; });
}

BootTime ObjectiveOf(const TraceJob& job) {
  BootTime longest{0};
  for (const TraceTask& it : job.tasks) longest = std::max(longest, it.work);
  const double stretched =
      kObjectiveStretch * static_cast<double>(longest.count());
  return kTargetLatency + BootTime{static_cast<std::int64_t>(stretched)};
}

JobResult IncompleteResult(const Scenario& scenario, const TraceJob& job) {
  JobResult result;
  result.measured = job.at >= scenario.warm_up && job.cancel_at == BootTime{0};
  result.response = job.deadline;
  result.ended_at = job.at + job.deadline;
  return result;
}

JobResult CompleteResult(const Scenario& scenario, const TraceJob& job,
                         BootTime ended_at) {
  JobResult result = IncompleteResult(scenario, job);
  result.complete = true;
  result.response = ended_at - job.at;
  result.ended_at = ended_at;
  return result;
}

}  // namespace dottereltrack::bench
