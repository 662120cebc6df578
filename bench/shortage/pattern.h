#pragma once

#include <string>
#include <vector>

#include "scenario.h"
#include "trace.h"

namespace dottereltrack::bench {

// Jobs of one queue. All are of the same shape.
struct QueueLoad {
  pool::QueueConfig queue;
  double jobs_per_second = 0;
  std::uint32_t tasks = 1;
  // Run time of a task on a minion of speed 1.
  milliseconds task{0};
  // Value to its caller of a job that is answered in time, or late.
  double value_in_time = 0;
  double value_late = 0;
  friend bool operator==(const QueueLoad&, const QueueLoad&) = default;
};

// A data centre's share of the jobs, and the entries that its clients use.
struct ClientSite {
  double share = 0;
  std::vector<int> entries;
  friend bool operator==(const ClientSite&, const ClientSite&) = default;
};

// A deployment and the jobs that its clients submit on a quiet day.
struct Demand {
  Deployment deployment;
  std::vector<QueueLoad> queues;
  std::vector<ClientSite> sites;
  // The rate of all jobs varies by this share with this period.
  double swing = 0;
  BootTime period{seconds{1}};
  // Share of the jobs whose tasks take `long_job_factor` times as long as they
  // usually do, and as the client estimates.
  double long_job_share = 0;
  double long_job_factor = 1;
  friend bool operator==(const Demand&, const Demand&) = default;
};

// A period in which the demand exceeds what some of the minions or entries can
// serve. `from` and `until` are measured from the start of the trace.
struct LoadPattern {
  std::string name;
  Demand demand;
  BootTime from{seconds{12}};
  BootTime until{seconds{16}};
  // The rate of each queue is multiplied by this in the period.
  std::vector<double> factors;
  // Share of all jobs that are submitted at the first entry in the period,
  // instead of their usual one.
  double first_entry_share = 0;
  std::vector<Disturbance> disturbances;
  friend bool operator==(const LoadPattern&, const LoadPattern&) = default;
};

// The deployments K and M of docs/design/heavy-load.md.
Demand KymaDemand();
Demand MalabarDemand();

// Indexes of the queues in both deployments.
constexpr std::size_t kShortTaskQueue = 0;
constexpr std::size_t kLongTaskQueue = 2;

// Each stands for a kind of period in which capacity is short; see its file.
LoadPattern BurstOfLongTasks(const Demand& demand);
LoadPattern BurstOfShortTasks(const Demand& demand);
LoadPattern BurstOfAllQueues(const Demand& demand);
LoadPattern MinionsLost(const Demand& demand);
LoadPattern OneBusyEntry(const Demand& demand);
LoadPattern LateStarts(const Demand& demand);
LoadPattern SevereOverload(const Demand& demand);

std::vector<LoadPattern> LoadPatternsOf(const Demand& demand);

// The scenario for RunPool and RunIdeal, and its jobs. Deterministic.
Scenario ScenarioOf(const LoadPattern& pattern);
Trace MakeArrivals(const LoadPattern& pattern, std::uint64_t seed);

}  // namespace dottereltrack::bench
