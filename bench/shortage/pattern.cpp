#include "shortage/pattern.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "random_generator.h"

namespace dottereltrack::bench {
namespace {

// Speeds are learned, and the links established, before the period begins.
constexpr BootTime kWarmUp{seconds{8}};
constexpr BootTime kTimeAfterPeriod{seconds{2}};
constexpr double kEstimateErrorFactor = 1.4;
constexpr double kTaskSpread = 0.15;
// A client gives up after 1,500 ms, or after this many times its objective.
constexpr BootTime kMinClientTimeout{milliseconds{1'500}};
constexpr int kClientTimeoutObjectives = 3;

double RateFactor(const Demand& demand, BootTime at) {
  const double turns = static_cast<double>(at.count()) /
                       static_cast<double>(demand.period.count());
  return 1 + demand.swing * std::sin(2 * std::numbers::pi * turns);
}

bool IsInPeriod(const LoadPattern& pattern, BootTime at) {
  return at >= pattern.from && at < pattern.until;
}

int PickEntry(const LoadPattern& pattern, BootTime at,
              RandomGenerator* random) {
  const bool goes_to_first = random->Uniform() < pattern.first_entry_share;
  const auto& sites = pattern.demand.sites;
  double remaining_share = random->Uniform();
  std::size_t n = 0;
  while (n + 1 < sites.size() && remaining_share >= sites[n].share) {
    remaining_share -= sites[n++].share;
  }
  const auto& entries = sites[n].entries;
  const int entry = entries[random->UniformBelow(entries.size())];
  return IsInPeriod(pattern, at) && goes_to_first ? 0 : entry;
}

TraceJob MakeArrival(const LoadPattern& pattern, const QueueLoad& load,
                     BootTime at, RandomGenerator* random) {
  TraceJob job;
  job.at = at;
  job.entry = PickEntry(pattern, at, random);
  job.team = "north";
  job.kind = load.queue.name;
  const double error =
      random->LogUniform(1 / kEstimateErrorFactor, kEstimateErrorFactor);
  const bool is_long = random->Uniform() < pattern.demand.long_job_share;
  const double factor = is_long ? pattern.demand.long_job_factor : 1;
  const auto usual_ms = static_cast<double>(load.task.count());
  for (std::uint32_t n = 0; n < load.tasks; ++n) {
    const double spread = 1 + kTaskSpread * (2 * random->Uniform() - 1);
    TraceTask task;
    task.work = milliseconds{std::llround(usual_ms * factor * spread)};
    task.declared = milliseconds{std::llround(usual_ms * error)};
    job.tasks.push_back(task);
  }
  const BootTime timeout =
      std::max(kMinClientTimeout, kClientTimeoutObjectives * ObjectiveOf(job));
  job.deadline = std::chrono::duration_cast<milliseconds>(timeout);
  return job;
}

}  // namespace

std::vector<LoadPattern> LoadPatternsOf(const Demand& demand) {
  return {BurstOfLongTasks(demand), BurstOfShortTasks(demand),
          BurstOfAllQueues(demand), MinionsLost(demand),
          OneBusyEntry(demand),     LateStarts(demand),
          SevereOverload(demand)};
}

Scenario ScenarioOf(const LoadPattern& pattern) {
  Scenario scenario;
  scenario.name = pattern.demand.deployment.name + "/" + pattern.name;
  scenario.deployment = pattern.demand.deployment;
  scenario.warm_up = kWarmUp;
  scenario.duration = pattern.until + kTimeAfterPeriod;
  scenario.deadline = milliseconds{10'000};
  scenario.disturbances = pattern.disturbances;
  for (const QueueLoad& it : pattern.demand.queues) {
    scenario.queues.push_back(it.queue);
  }
  return scenario;
}

Trace MakeArrivals(const LoadPattern& pattern, std::uint64_t seed) {
  const Scenario scenario = ScenarioOf(pattern);
  Trace trace;
  for (std::size_t n = 0; n < pattern.demand.queues.size(); ++n) {
    RandomGenerator random(seed * 0x9e3779b97f4a7c15ULL + n + 1);
    const QueueLoad& load = pattern.demand.queues[n];
    double at = 0;
    while (true) {
      const BootTime before{static_cast<std::int64_t>(at)};
      const double burst = IsInPeriod(pattern, before) ? pattern.factors[n] : 1;
      const double rate =
          load.jobs_per_second * RateFactor(pattern.demand, before) * burst;
      at += random.Exponential(1e6 / rate);
      const BootTime arrival{static_cast<std::int64_t>(at)};
      if (arrival >= scenario.duration) break;
      trace.push_back(MakeArrival(pattern, load, arrival, &random));
    }
  }
  std::stable_sort(
      trace.begin(), trace.end(),
      [](const TraceJob& a, const TraceJob& b) { return a.at < b.at; });
  return trace;
}

}  // namespace dottereltrack::bench
