#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cell_run.h"
#include "trace.h"

namespace dottereltrack::bench {

// Response times of the measured jobs, in seconds.
struct ResponseTimes {
  double mean = 0;
  double p99 = 0;
  friend bool operator==(const ResponseTimes&, const ResponseTimes&) = default;
};

struct BaselineMeasures {
  std::string name;
  ResponseTimes response_times;
  friend bool operator==(const BaselineMeasures&,
                         const BaselineMeasures&) = default;
};

// The measurements defined in the design document for one scenario, aggregated
// over all seeds.
struct Measures {
  std::string scenario;
  ResponseTimes measured;
  ResponseTimes ideal;
  ResponseTimes unloaded_ideal;
  double mean_ratio = 0;
  double p99_ratio = 0;
  std::vector<BaselineMeasures> baselines;
  // Share of the measured jobs without a complete answer.
  double incomplete = 0;
  double useful_per_task = 0;
  double wasted_per_task = 0;
  double store_calls_per_task = 0;
  std::uint64_t jobs = 0;
  std::uint64_t tasks = 0;
  std::uint64_t double_starts = 0;
  std::uint64_t overcommitted_slots = 0;
  friend bool operator==(const Measures&, const Measures&) = default;
};

// Computes the mean and the 99th percentile (nearest rank).
ResponseTimes ComputeResponseTimes(const std::vector<JobResult>& jobs);

// Runs a trace on the real decision code: RunCell with a dispatcher, or RunPool
// without one.
using RunSystem = CellRun (*)(const Scenario& scenario, const Trace& trace,
                              std::uint64_t seed);

// Runs the scenario with seeds 1 to `seeds` on the system, the ideal scheduler
// and all baselines.
Measures Measure(const Scenario& scenario, int seeds, RunSystem run_system);

// Work of the complete jobs that ended in [from, until), divided by the work
// that the minions can do in that interval.
double Goodput(const Scenario& scenario, const Trace& trace,
               const std::vector<JobResult>& jobs, BootTime from,
               BootTime until);

}  // namespace dottereltrack::bench
