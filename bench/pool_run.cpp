#include "pool_run.h"

#include <algorithm>
#include <string>

#include "network_delays.h"
#include "support/test_pool.h"
#include "trace_actions.h"

namespace dottereltrack::bench {
namespace {

using testing::PoolOptions;
using testing::TestPool;

// Time to establish the links before the trace starts.
constexpr BootTime kStartupTime{seconds{3}};
// Time to wait for answers after the last deadline.
constexpr BootTime kAnswerWaitTime{seconds{10}};
// Each task occupies one slot.
constexpr std::int64_t kCpuMillisPerSlot = 1'000;

PoolOptions OptionsOf(const Scenario& scenario, std::uint64_t seed) {
  const Deployment& deployment = scenario.deployment;
  PoolOptions options;
  options.entries = deployment.entries;
  options.agents = deployment.minions;
  for (int n = 0; n < deployment.minions; ++n) {
    options.capacities.push_back(
        {kCpuMillisPerSlot * SlotsOf(deployment, n), 1'000'000, 0});
  }
  if (!scenario.queues.empty()) options.queues = scenario.queues;
  options.time_ratios = deployment.time_ratios;
  options.seed = seed;
  options.delay = [&deployment](int end, int other) {
    const int low = std::min(end, other);
    const int high = std::max(end, other);
    const bool is_peer = high < deployment.entries;
    return is_peer ? deployment.delay
                   : DelayBetween(deployment, low, high - deployment.entries);
  };
  return options;
}

pool::JobSpec JobOf(const TraceJob& job, std::uint64_t id) {
  pool::JobSpec spec;
  spec.id = id;
  std::string payload;
  for (const TraceTask& task : job.tasks) {
    const auto work = std::chrono::duration_cast<milliseconds>(task.work);
    payload += std::to_string(work.count()) + " " +
               std::to_string(kCpuMillisPerSlot) + " ";
    spec.steps.push_back({1, {kCpuMillisPerSlot, 1, 0}, task.declared});
  }
  spec.payload = payload;
  return spec;
}

class PoolDriver {
 public:
  PoolDriver(const Scenario& scenario, const Trace& trace, std::uint64_t seed)
      : scenario_(scenario),
        trace_(trace),
        pool_(OptionsOf(scenario, seed)),
        calls_(trace.size()) {
    pool_.RunFor(kStartupTime);
    start_ = pool_.now();
  }

  CellRun Run() {
    const TraceHandlers handlers = Handlers();
    for (const TimedAction& it : MakeActions(scenario_, trace_, handlers)) {
      pool_.RunUntil(start_ + it.at);
      it.action();
    }
    pool_.RunFor(scenario_.deadline + kAnswerWaitTime);
    for (std::size_t n = 0; n < trace_.size(); ++n) {
      run_.jobs.push_back(ResultOf(n));
    }
    run_.double_starts = pool_.ledger().violations.size();
    return run_;
  }

 private:
  TraceHandlers Handlers() {
    return {[this](std::size_t n) {
              const TraceJob& job = trace_[n];
              calls_[n] = pool_.Submit(job.entry, JobOf(job, n + 1),
                                       job.deadline, QueueOf(job));
            },
            [this](std::size_t n) { pool_.Cancel(trace_[n].entry, n + 1); },
            [this](const Disturbance& it) { ApplyDisturbance(it); },
            [this] { counts_before_ = pool_.message_counts(); },
            [this] { StopMeasuring(); }};
  }

  std::size_t QueueOf(const TraceJob& job) const {
    const auto& queues = scenario_.queues;
    const auto it =
        std::find_if(queues.begin(), queues.end(),
                     [&](const auto& queue) { return queue.name == job.kind; });
    return it == queues.end() ? 0 : it - queues.begin();
  }

  void ApplyDisturbance(const Disturbance& it) {
    switch (it.kind) {
      case DisturbanceKind::kMinionFails:
        return pool_.minion(it.minion).SetFailing(true);
      case DisturbanceKind::kMinionSlows:
        return pool_.minion(it.minion).SetTimeRatio(
            scenario_.deployment.time_ratios[it.minion] * it.factor);
      case DisturbanceKind::kMinionLost:
        pool_.minion(it.minion).Crash();
        return pool_.PowerOff(pool_.AgentProcess(it.minion));
      case DisturbanceKind::kMinionReturns:
        pool_.minion(it.minion).Recover(false);
        return pool_.Restart(pool_.AgentProcess(it.minion));
      case DisturbanceKind::kMinionStartsLate:
        return pool_.minion(it.minion).SetLateCommandShare(it.factor);
      case DisturbanceKind::kStoreDown:
        return pool_.SetStoreDown(true);
      case DisturbanceKind::kStoreUp:
        return pool_.SetStoreDown(false);
      case DisturbanceKind::kEntryKilled:
        run_.faulted_entry = 0;
        return pool_.Kill(0);
      case DisturbanceKind::kEntryFreezes:
        run_.faulted_entry = 0;
        return pool_.Freeze(0);
      case DisturbanceKind::kEntryThaws:
        return pool_.Thaw(0);
    }
  }

  void StopMeasuring() {
    const testing::PoolMessageCounts& after = pool_.message_counts();
    run_.messages.useful = after.work_messages - counts_before_.work_messages;
    run_.messages.wasted =
        after.overhead_messages - counts_before_.overhead_messages;
    run_.completed_tasks = after.results - counts_before_.results;
  }

  JobResult ResultOf(std::size_t n) const {
    const auto* reply = pool_.ReplyOf(calls_[n]);
    if (reply != nullptr && reply->kind == pool::ReplyKind::kCompleted) {
      return CompleteResult(
          scenario_, trace_[n],
          reply->at - start_ + scenario_.deployment.client_delay);
    }
    JobResult result = IncompleteResult(scenario_, trace_[n]);
    result.refused =
        reply != nullptr && (reply->kind == pool::ReplyKind::kOverloaded ||
                             reply->kind == pool::ReplyKind::kNoMinions);
    if (result.refused) {
      result.ended_at = reply->at - start_ + scenario_.deployment.client_delay;
    }
    return result;
  }

  const Scenario& scenario_;
  const Trace& trace_;
  TestPool pool_;
  BootTime start_{0};
  std::vector<CallId> calls_;
  testing::PoolMessageCounts counts_before_;
  CellRun run_;
};

}  // namespace

CellRun RunPool(const Scenario& scenario, const Trace& trace,
                std::uint64_t seed) {
  return PoolDriver(scenario, trace, seed).Run();
}

}  // namespace dottereltrack::bench
