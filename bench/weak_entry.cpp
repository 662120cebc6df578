// Service to the clients of each data centre on deployment K of
// docs/design/heavy-load.md, with and without forwarding, on the virtual clock
// with the processor model of tests/support.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numbers>
#include <random>
#include <vector>

#include "support/test_pool.h"

namespace dottereltrack::bench {
namespace {

using testing::MakeJob;
using testing::PoolOptions;
using testing::TestPool;

constexpr int kAgents = 57;
constexpr seconds kStartup{4};
constexpr seconds kLoadTime{26};
constexpr double kPeriodSeconds = 13;
constexpr double kSwing = 0.55;
constexpr milliseconds kTargetLatency{60};
constexpr double kStretch = 1.6;

struct DataCentre {
  const char* name;
  double jobs_per_second;
  std::vector<double> entry_cores;
  std::vector<int> entries{};
};

struct Queue {
  double weight;
  std::uint32_t tasks;
  milliseconds duration;
};
constexpr Queue kQueues[] = {{206, 8, milliseconds{51}},
                             {600, 2, milliseconds{170}},
                             {37.5, 4, milliseconds{760}}};

struct SubmittedJob {
  CallId call;
  BootTime at{0};
  BootTime goal{0};
  std::size_t data_centre = 0;
};

std::vector<DataCentre> MakeDataCentres() {
  std::vector<DataCentre> all{{"piraeus", 209, {0.5, 0.5, 0.12}},
                              {"naxos", 189, {0.5, 0.5, 0.12}},
                              {"paros", 159, {0.12, 0.12}},
                              {"syros", 184, {0.12}}};
  int next = 0;
  for (DataCentre& it : all) {
    for (std::size_t n = 0; n < it.entry_cores.size(); ++n) {
      it.entries.push_back(next++);
    }
  }
  return all;
}

void Run(const char* title, double overload_enter_share) {
  const std::vector<DataCentre> data_centres = MakeDataCentres();
  PoolOptions options;
  options.entries = 0;
  options.agents = kAgents;
  options.capacity = {18'700, 100'000, 0};
  options.overload_enter_share = overload_enter_share;
  for (const DataCentre& it : data_centres) {
    for (const double cores : it.entry_cores) {
      ++options.entries;
      options.entry_cores.push_back(cores);
      options.entry_data_centres.emplace_back(it.name);
    }
  }
  const auto zones = options.entry_data_centres;
  options.delay = [zones](int a, int b) {
    const auto zone = [&](int n) {
      const int entries = static_cast<int>(zones.size());
      return n < entries ? zones[n] : zones[(n - entries) % entries];
    };
    return zone(a) == zone(b) ? BootTime{250} : BootTime{900};
  };
  TestPool pool(options);
  pool.RunFor(kStartup);
  const BootTime start = pool.now();
  std::mt19937_64 random(7);
  std::vector<SubmittedJob> jobs;
  std::vector<double> due(data_centres.size(), 0);
  std::vector<int> transitions(options.entries, 0);
  std::vector<bool> overloaded(options.entries, false);
  std::uint64_t next_id = 1;
  std::size_t forwarded = 0;
  std::discrete_distribution<int> pick(
      {kQueues[0].weight, kQueues[1].weight, kQueues[2].weight});
  while (pool.now() < start + kLoadTime) {
    const double t = std::chrono::duration<double>(pool.now() - start).count();
    for (std::size_t n = 0; n < data_centres.size(); ++n) {
      const DataCentre& it = data_centres[n];
      const double phase =
          2 * std::numbers::pi *
          (t / kPeriodSeconds +
           static_cast<double>(n) / static_cast<double>(data_centres.size()));
      due[n] += 0.001 * it.jobs_per_second * (1 + kSwing * std::sin(phase));
      std::poisson_distribution<int> count(std::max(due[n], 1e-9));
      const int arrivals = count(random);
      due[n] = 0;
      for (int k = 0; k < arrivals; ++k) {
        const Queue& queue = kQueues[pick(random)];
        const int entry = it.entries[random() % it.entries.size()];
        const auto goal =
            kTargetLatency +
            milliseconds{std::llround(
                kStretch * static_cast<double>(queue.duration.count()))};
        const auto timeout = std::min(milliseconds{1'500}, 3 * goal);
        const CallId call = pool.Submit(
            entry, MakeJob(next_id++, queue.tasks, queue.duration, 1'300),
            timeout);
        jobs.push_back({call, pool.now(), goal, n});
      }
    }
    pool.RunFor(milliseconds{1});
    for (int n = 0; n < options.entries; ++n) {
      const bool is_overloaded = pool.entry(n).overload.is_overloaded;
      if (is_overloaded != overloaded[n]) ++transitions[n];
      overloaded[n] = is_overloaded;
    }
  }
  for (int n = 0; n < options.entries; ++n) {
    for (const auto& [link, offer] : pool.entry(n).offers) {
      forwarded += offer.sent_jobs;
    }
  }
  pool.RunFor(seconds{3});
  std::printf("%s: %zu jobs, %zu forwarded, %zu violations\n", title,
              jobs.size(), forwarded, pool.ledger().violations.size());
  for (std::size_t n = 0; n < data_centres.size(); ++n) {
    int total = 0;
    int in_time = 0;
    int completed = 0;
    for (const SubmittedJob& job : jobs) {
      if (job.data_centre != n) continue;
      ++total;
      const auto* reply = pool.ReplyOf(job.call);
      if (reply == nullptr || reply->kind != pool::ReplyKind::kCompleted) {
        continue;
      }
      ++completed;
      if (reply->at - job.at <= job.goal) ++in_time;
    }
    int flips = 0;
    for (const int entry : data_centres[n].entries) flips += transitions[entry];
    std::printf("  %-8s in time %.3f, completed %.3f of %5d, transitions %d\n",
                data_centres[n].name, static_cast<double>(in_time) / total,
                static_cast<double>(completed) / total, total, flips);
  }
}

}  // namespace
}  // namespace dottereltrack::bench

int main() {
  dottereltrack::bench::Run("without forwarding", 2.0);
  dottereltrack::bench::Run("with forwarding", 0.6);
  return 0;
}
