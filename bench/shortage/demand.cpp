// The deployments K and M of docs/design/heavy-load.md.

#include <numeric>

#include "shortage/pattern.h"

namespace dottereltrack::bench {
namespace {

// Jobs of the three queues in 843.5 jobs.
constexpr double kJobShares[] = {206 / 843.5, 600 / 843.5, 37.5 / 843.5};
constexpr std::uint32_t kTasks[] = {8, 2, 4};
constexpr double kValuesInTime[] = {0.00485, 0.00167, 0.0267};
constexpr double kValuesLate[] = {0.00097, 0.00033, 0.0053};
constexpr double kSpeeds[] = {0.6, 1.0, 1.6};

QueueLoad MakeQueueLoad(std::size_t n, const std::string& name,
                        milliseconds task, double jobs_per_second) {
  QueueLoad load;
  load.queue.name = name;
  load.queue.host = name + ".example";
  load.queue.path_prefix = "/" + name + "/";
  load.queue.service = "checks";
  load.queue.priority = static_cast<int>(n);
  load.queue.max_attempts = 2;
  load.queue.stretch = 1.6;
  load.queue.target_latency = milliseconds{60};
  load.jobs_per_second = kJobShares[n] * jobs_per_second;
  load.tasks = kTasks[n];
  load.task = task;
  load.value_in_time = kValuesInTime[n];
  load.value_late = kValuesLate[n];
  return load;
}

std::vector<ClientSite> MakeSites(
    const std::vector<double>& jobs_per_second,
    const std::vector<std::vector<int>>& entries) {
  const double total =
      std::accumulate(jobs_per_second.begin(), jobs_per_second.end(), 0.0);
  std::vector<ClientSite> sites;
  for (std::size_t n = 0; n < entries.size(); ++n) {
    sites.push_back({jobs_per_second[n] / total, entries[n]});
  }
  return sites;
}

}  // namespace

Demand KymaDemand() {
  constexpr double kJobsPerSecond = 209 + 189 + 159 + 184;
  Demand demand;
  Deployment& deployment = demand.deployment;
  deployment.name = "kyma";
  deployment.entries = 9;
  deployment.minions = 57;
  deployment.minions_per_rack = 7;
  deployment.delay = BootTime{900};
  deployment.local_delay = BootTime{100};
  deployment.client_delay = BootTime{1'000};
  for (int n = 0; n < deployment.minions; ++n) {
    // Tasks of 1.3 cores on 16 or 24 cores.
    deployment.slots_by_minion.push_back(n % 3 == 0 ? 18 : 12);
    deployment.time_ratios.push_back(1.0);
  }
  demand.queues = {
      MakeQueueLoad(0, "quote", milliseconds{51}, kJobsPerSecond),
      MakeQueueLoad(1, "licence", milliseconds{170}, kJobsPerSecond),
      MakeQueueLoad(2, "confirm", milliseconds{760}, kJobsPerSecond)};
  demand.sites =
      MakeSites({209, 189, 159, 184}, {{0, 1, 2}, {3, 4, 5}, {6, 7}, {8}});
  demand.swing = 0.55;
  demand.period = seconds{13};
  demand.long_job_share = 0.03;
  demand.long_job_factor = 7;
  return demand;
}

Demand MalabarDemand() {
  constexpr double kJobsPerSecond = 181 + 195 + 249;
  Demand demand;
  Deployment& deployment = demand.deployment;
  deployment.name = "malabar";
  deployment.entries = 9;
  deployment.minions = 55;
  deployment.minions_per_rack = 8;
  deployment.delay = BootTime{500};
  deployment.local_delay = BootTime{100};
  deployment.client_delay = BootTime{1'000};
  for (int n = 0; n < deployment.minions; ++n) {
    // Tasks of 2.6 cores on 32 or 48 cores.
    deployment.slots_by_minion.push_back(n % 3 == 0 ? 18 : 12);
    deployment.time_ratios.push_back(1 / kSpeeds[n / 3 % 3]);
  }
  demand.queues = {
      MakeQueueLoad(0, "pincode-check", milliseconds{60}, kJobsPerSecond),
      MakeQueueLoad(1, "reg-confirm", milliseconds{200}, kJobsPerSecond),
      MakeQueueLoad(2, "route-assign", milliseconds{900}, kJobsPerSecond)};
  demand.sites = MakeSites({181, 195, 249}, {{0, 1, 2, 3}, {4, 5, 6}, {7, 8}});
  demand.swing = 0.15;
  demand.period = seconds{11};
  return demand;
}

}  // namespace dottereltrack::bench
