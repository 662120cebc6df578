#include "cell_run.h"

#include <algorithm>

#include "support/test_cell.h"
#include "trace_actions.h"

namespace dottereltrack::bench {
namespace {

using testing::CellOptions;
using testing::TestCell;

// Time for the cell to get a dispatcher and establish its links before the
// trace starts.
constexpr BootTime kStartupTime{seconds{3}};
// Time to wait for answers after the last arrival.
constexpr BootTime kAnswerWaitTime{seconds{70}};

CellOptions OptionsOf(const Scenario& scenario, std::uint64_t seed) {
  const Deployment& deployment = scenario.deployment;
  CellOptions options;
  options.entries = deployment.entries;
  options.agents = deployment.minions;
  options.agents_per_rack = deployment.minions_per_rack;
  options.slots = deployment.slots;
  options.delay = deployment.delay;
  options.local_delay = deployment.local_delay;
  options.time_ratios = deployment.time_ratios;
  options.seed = seed;
  return options;
}

SubmitRequest RequestOf(const TraceJob& job, const std::string& key) {
  SubmitRequest request;
  request.team = job.team;
  request.key = key;
  request.kind = job.kind;
  request.deadline = job.deadline;
  for (const TraceTask& task : job.tasks) {
    TaskSpec spec;
    spec.declared_time = task.declared;
    spec.payload = std::to_string(
        std::chrono::duration_cast<milliseconds>(task.work).count());
    request.tasks.push_back(spec);
  }
  request.body_digest = ComputeDigest(key);
  return request;
}

class CellDriver {
 public:
  CellDriver(const Scenario& scenario, const Trace& trace, std::uint64_t seed)
      : scenario_(scenario),
        trace_(trace),
        cell_(OptionsOf(scenario, seed)),
        calls_(trace.size()),
        submissions_(trace.size()) {
    cell_.RunFor(kStartupTime);
    Configure();
    start_ = cell_.now();
  }

  CellRun Run() {
    const TraceHandlers handlers = Handlers();
    for (const TimedAction& it : MakeActions(scenario_, trace_, handlers)) {
      cell_.RunUntil(start_ + it.at);
      it.action();
    }
    cell_.RunFor(kAnswerWaitTime);
    for (std::size_t n = 0; n < trace_.size(); ++n) {
      run_.jobs.push_back(ResultOf(n));
    }
    run_.double_starts = cell_.TasksStartedMoreThanOnce().size();
    run_.overcommitted_slots = cell_.overcommitted_slots();
    return run_;
  }

 private:
  void Configure() {
    CellConfig config;
    for (const TeamShare& team : scenario_.teams) {
      config.teams[team.name] = {team.max_in_progress, team.weight};
    }
    cell_.SetConfig(0, 0, config);
    cell_.RunFor(seconds{1});
  }

  TraceHandlers Handlers() {
    return {[this](std::size_t n) { Submit(n); },
            [this](std::size_t n) {
              cell_.Cancel(trace_[n].entry, submissions_[n]);
            },
            [this](const Disturbance& it) { ApplyDisturbance(it); },
            [this] { StartMeasuring(); }, [this] { StopMeasuring(); }};
  }

  void Submit(std::size_t n) {
    const TraceJob& job = trace_[n];
    const std::string key = testing::TimedKey(cell_.wall(), n);
    submissions_[n] = MakeSubmissionId(job.team, key);
    calls_[n] = cell_.Submit(job.entry, RequestOf(job, key));
  }

  void ApplyDisturbance(const Disturbance& it) {
    switch (it.kind) {
      case DisturbanceKind::kMinionFails:
        return cell_.SetMinionFailing(it.minion, true);
      case DisturbanceKind::kMinionSlows:
        return cell_.SetMinionTimeRatio(
            it.minion, scenario_.deployment.time_ratios[it.minion] * it.factor);
      // Only in patterns for the pool.
      case DisturbanceKind::kMinionReturns:
      case DisturbanceKind::kMinionStartsLate:
        return;
      case DisturbanceKind::kMinionLost:
        return cell_.KillAgent(it.minion);
      case DisturbanceKind::kStoreDown:
        return cell_.SetStoreMode(testing::StoreMode::kDown);
      case DisturbanceKind::kStoreUp:
        return cell_.SetStoreMode(testing::StoreMode::kUp);
      case DisturbanceKind::kEntryKilled:
        run_.faulted_entry = cell_.Dispatcher();
        cell_.KillEntry(run_.faulted_entry);
        return;
      case DisturbanceKind::kEntryFreezes:
        run_.faulted_entry = cell_.Dispatcher();
        return cell_.FreezeEntry(run_.faulted_entry, true);
      case DisturbanceKind::kEntryThaws:
        return cell_.FreezeEntry(run_.faulted_entry, false);
    }
  }

  std::uint64_t ResultCount() const {
    std::uint64_t sum = 0;
    for (int n = 0; n < cell_.entry_count(); ++n) {
      sum +=
          cell_.entry(n).counters[static_cast<std::size_t>(Counter::kResults)];
    }
    return sum;
  }

  void StartMeasuring() {
    run_.messages = cell_.tally();
    run_.store_calls = cell_.store_calls();
    run_.completed_tasks = ResultCount();
  }

  void StopMeasuring() {
    run_.messages.useful = cell_.tally().useful - run_.messages.useful;
    run_.messages.wasted = cell_.tally().wasted - run_.messages.wasted;
    run_.store_calls = cell_.store_calls() - run_.store_calls;
    run_.completed_tasks = ResultCount() - run_.completed_tasks;
  }

  JobResult ResultOf(std::size_t n) const {
    const auto* reply = cell_.ReplyOf(calls_[n]);
    const auto* answer =
        reply == nullptr ? nullptr : std::get_if<Answer>(&reply->reply);
    if (answer == nullptr || !answer->complete) {
      JobResult result = IncompleteResult(scenario_, trace_[n]);
      const auto* refusal =
          reply == nullptr ? nullptr : std::get_if<Refusal>(&reply->reply);
      result.refused = refusal != nullptr && refusal->not_run.has_value();
      return result;
    }
    return CompleteResult(
        scenario_, trace_[n],
        reply->at - start_ + scenario_.deployment.client_delay);
  }

  const Scenario& scenario_;
  const Trace& trace_;
  TestCell cell_;
  BootTime start_{0};
  std::vector<CallId> calls_;
  std::vector<SubmissionId> submissions_;
  CellRun run_;
};

}  // namespace

CellRun RunCell(const Scenario& scenario, const Trace& trace,
                std::uint64_t seed) {
  return CellDriver(scenario, trace, seed).Run();
}

}  // namespace dottereltrack::bench
