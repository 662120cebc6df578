#include "trace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace dottereltrack::bench {
namespace {

// Run times in ms: most are short, a few take seconds.
constexpr double kShortest = 50;
constexpr double kLongestShort = 1'000;
constexpr double kLongest = 4'000;
constexpr double kShareOfLong = 0.05;
constexpr double kSmallError = 1.25;
constexpr double kLargeError = 3.0;
constexpr std::uint32_t kLargeJobTasks = 1'100;

// Own distributions, because those of the standard library give different
// values in different implementations.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : random_(seed) {}

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  double LogUniform(double low, double high) {
    return low * std::pow(high / low, Uniform());
  }
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  // Geometric distribution; at least 1.
  std::uint32_t Size(double mean) {
    if (mean <= 1) return 1;
    const double n = std::log1p(-Uniform()) / std::log1p(-1.0 / mean);
    return 1 + static_cast<std::uint32_t>(std::min(n, 1'099.0));
  }

 private:
  std::mt19937_64 random_;
};

double MeanOfLogUniform(double low, double high) {
  return (high - low) / std::log(high / low);
}

double MeanWorkMs() {
  return (1 - kShareOfLong) * MeanOfLogUniform(kShortest, kLongestShort) +
         kShareOfLong * MeanOfLogUniform(kLongestShort, kLongest);
}

double ErrorFactor(const Scenario& scenario, bool declared_long, Dice* dice) {
  switch (scenario.declared_error) {
    case DeclaredError::kThreefoldPerKind:
      return declared_long ? kLargeError : 1 / kLargeError;
    case DeclaredError::kThreefoldPerTask:
      return dice->Below(2) == 0 ? kLargeError : 1 / kLargeError;
    case DeclaredError::kSmall:
      break;
  }
  return dice->LogUniform(1 / kSmallError, kSmallError);
}

TraceTask MakeTask(const Scenario& scenario, bool declared_long, Dice* dice) {
  const double ms = dice->Uniform() < kShareOfLong
                        ? dice->LogUniform(kLongestShort, kLongest)
                        : dice->LogUniform(kShortest, kLongestShort);
  const double error = ErrorFactor(scenario, declared_long, dice);
  TraceTask task;
  // Whole milliseconds, because the payload gives the run time in milliseconds.
  task.work = milliseconds{std::llround(ms)};
  task.declared =
      milliseconds{std::max<std::int64_t>(1, std::llround(ms * error))};
  return task;
}

const TeamShare& PickTeam(const Scenario& scenario, Dice* dice) {
  double rest = dice->Uniform();
  for (const TeamShare& team : scenario.teams) {
    if (rest < team.share) return team;
    rest -= team.share;
  }
  return scenario.teams.back();
}

TraceJob MakeJob(const Scenario& scenario, BootTime at, std::uint32_t tasks,
                 Dice* dice) {
  TraceJob job;
  job.at = at;
  job.entry = static_cast<int>(
      dice->Below(static_cast<std::uint64_t>(scenario.deployment.entries)));
  job.team = PickTeam(scenario, dice).name;
  const bool declared_long = dice->Below(2) == 0;
  job.kind = declared_long ? "resize" : "render";
  job.deadline = scenario.deadline;
  for (std::uint32_t n = 0; n < tasks; ++n) {
    job.tasks.push_back(MakeTask(scenario, declared_long, dice));
  }
  const bool in_wave =
      at < scenario.cancel_at && at + seconds{1} >= scenario.cancel_at;
  if (in_wave && dice->Below(2) == 0) job.cancel_at = scenario.cancel_at;
  return job;
}

double LoadAt(const Scenario& scenario, BootTime at) {
  const bool burst = at >= scenario.burst_from && at < scenario.burst_until;
  return burst ? scenario.burst_load : scenario.load;
}

}  // namespace

Trace MakeTrace(const Scenario& scenario, std::uint64_t seed) {
  Dice dice(seed * 0x9e3779b97f4a7c15ULL + 1);
  const double jobs_per_us_at_capacity =
      TotalSpeed(scenario.deployment) /
      (scenario.mean_tasks_per_job * MeanWorkMs() * 1'000);
  Trace trace;
  double at = 0;
  while (true) {
    const double load =
        LoadAt(scenario, BootTime{static_cast<std::int64_t>(at)});
    at += dice.Exponential(1 / (load * jobs_per_us_at_capacity));
    const BootTime when{static_cast<std::int64_t>(at)};
    if (when >= scenario.duration) break;
    trace.push_back(
        MakeJob(scenario, when, dice.Size(scenario.mean_tasks_per_job), &dice));
  }
  for (const BootTime when : scenario.large_jobs) {
    trace.push_back(MakeJob(scenario, when, kLargeJobTasks, &dice));
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
