#include "baselines.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

#include "network_delays.h"

namespace dottereltrack::bench {
namespace {

// Delay until a lost minion is detected, as in the real system.
constexpr BootTime kLossDetectionDelay{seconds{3}};
constexpr BootTime kRunTimeOnFailingMinion{1'000};

enum class State { kUnsent, kQueued, kRunning, kEnded };

struct BaselineTask {
  std::size_t job = 0;
  std::uint32_t index = 0;
  std::size_t minion = 0;
  State state = State::kUnsent;
  bool failed = false;
};

struct BaselineMinion {
  std::deque<std::size_t> queue;
  std::uint32_t free_slots = 0;
  std::uint32_t load = 0;
  double time_ratio = 1.0;
  bool is_failing = false;
  bool is_lost = false;
};

enum class EventKind {
  kDisturbance,
  kLossDetected,
  kSubmit,
  kTaskReceived,
  kTaskEnded,
  kResult,
  kCancel
};

struct Event {
  BootTime at{0};
  EventKind kind = EventKind::kSubmit;
  // Index of a job, task, disturbance or minion.
  std::size_t index = 0;
  // Load of the minion, as reported with a result.
  std::uint32_t load = 0;
  friend auto operator<=>(const Event&, const Event&) = default;
};

class BaselineRun {
 public:
  BaselineRun(const Scenario& scenario, const Trace& trace,
              BaselinePolicy choose)
      : scenario_(scenario), trace_(trace), choose_(choose), random_(1) {
    const Deployment& deployment = scenario.deployment;
    for (const double ratio : deployment.time_ratios) {
      BaselineMinion minion;
      minion.free_slots = deployment.slots;
      minion.time_ratio = ratio;
      minions_.push_back(minion);
    }
    EntryView view;
    view.known_load.resize(minions_.size());
    view.known_lost.resize(minions_.size());
    views_.assign(deployment.entries, view);
    for (std::size_t n = 0; n < trace.size(); ++n) {
      results_.push_back(IncompleteResult(scenario, trace[n]));
      first_task_index_.push_back(tasks_.size());
      unfinished_tasks_.push_back(trace[n].tasks.size());
      for (std::uint32_t i = 0; i < trace[n].tasks.size(); ++i) {
        tasks_.push_back({n, i});
      }
      Schedule(trace[n].at + deployment.client_delay, EventKind::kSubmit, n);
      if (trace[n].cancel_at > BootTime{0}) {
        Schedule(trace[n].cancel_at + deployment.client_delay,
                 EventKind::kCancel, n);
      }
    }
    for (std::size_t n = 0; n < scenario.disturbances.size(); ++n) {
      Schedule(scenario.disturbances[n].at, EventKind::kDisturbance, n);
    }
  }

  std::vector<JobResult> Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    return results_;
  }

 private:
  void Handle(const Event& event) {
    switch (event.kind) {
      case EventKind::kDisturbance:
        return ApplyDisturbance(scenario_.disturbances[event.index]);
      case EventKind::kLossDetected:
        for (EntryView& view : views_) view.known_lost[event.index] = true;
        return;
      case EventKind::kSubmit:
        return Submit(event.index);
      case EventKind::kTaskReceived:
        return Enqueue(event.index);
      case EventKind::kTaskEnded:
        return EndTask(event.index);
      case EventKind::kResult:
        return HandleResult(event);
      case EventKind::kCancel:
        return Cancel(event.index);
    }
  }

  void Schedule(BootTime at, EventKind kind, std::size_t index,
                std::uint32_t load = 0) {
    events_.push({at, kind, index, load});
  }

  void ApplyDisturbance(const Disturbance& it) {
    BaselineMinion& minion = minions_[it.minion];
    if (it.kind == DisturbanceKind::kMinionFails) minion.is_failing = true;
    if (it.kind == DisturbanceKind::kMinionSlows) {
      minion.time_ratio *= it.factor;
    }
    if (it.kind == DisturbanceKind::kMinionLost) {
      minion.is_lost = true;
      Schedule(now_ + kLossDetectionDelay, EventKind::kLossDetected, it.minion);
    }
  }

  void Submit(std::size_t n) {
    EntryView& view = views_[trace_[n].entry];
    for (std::uint32_t i = 0; i < trace_[n].tasks.size(); ++i) {
      view.random_value = random_();
      const std::size_t chosen = choose_(view);
      ++view.placed_tasks;
      ++view.known_load[chosen];
      const std::size_t id = first_task_index_[n] + i;
      tasks_[id].minion = chosen;
      Schedule(now_ + DelayToMinion(id), EventKind::kTaskReceived, id);
    }
  }

  BootTime DelayToMinion(std::size_t id) const {
    return DelayBetween(scenario_.deployment, trace_[tasks_[id].job].entry,
                        static_cast<int>(tasks_[id].minion));
  }

  void Enqueue(std::size_t id) {
    BaselineTask& task = tasks_[id];
    BaselineMinion& minion = minions_[task.minion];
    if (minion.is_lost || task.state == State::kEnded) return;
    task.state = State::kQueued;
    ++minion.load;
    minion.queue.push_back(id);
    StartTasks(&minion);
  }

  void StartTasks(BaselineMinion* minion) {
    while (minion->free_slots > 0 && !minion->queue.empty()) {
      const std::size_t id = minion->queue.front();
      minion->queue.pop_front();
      BaselineTask& task = tasks_[id];
      if (task.state == State::kEnded) continue;
      task.state = State::kRunning;
      task.failed = minion->is_failing;
      --minion->free_slots;
      const auto& work = trace_[task.job].tasks[task.index].work;
      const BootTime run_time{static_cast<std::int64_t>(
          static_cast<double>(work.count()) * minion->time_ratio)};
      Schedule(now_ + (task.failed ? kRunTimeOnFailingMinion : run_time),
               EventKind::kTaskEnded, id);
    }
  }

  void EndTask(std::size_t id) {
    BaselineTask& task = tasks_[id];
    BaselineMinion& minion = minions_[task.minion];
    if (minion.is_lost || task.state != State::kRunning) return;
    task.state = State::kEnded;
    --minion.load;
    ++minion.free_slots;
    StartTasks(&minion);
    Schedule(now_ + DelayToMinion(id), EventKind::kResult, id, minion.load);
  }

  void HandleResult(const Event& event) {
    const BaselineTask& task = tasks_[event.index];
    const TraceJob& job = trace_[task.job];
    views_[job.entry].known_load[task.minion] = event.load;
    // A job with a failed task keeps its initial, incomplete result.
    if (task.failed || --unfinished_tasks_[task.job] > 0) return;
    const BootTime ended_at = now_ + scenario_.deployment.client_delay;
    if (ended_at - job.at > job.deadline) return;
    results_[task.job] = CompleteResult(scenario_, job, ended_at);
  }

  void Cancel(std::size_t n) {
    for (std::uint32_t i = 0; i < trace_[n].tasks.size(); ++i) {
      BaselineTask& task = tasks_[first_task_index_[n] + i];
      BaselineMinion& minion = minions_[task.minion];
      const State before = task.state;
      task.state = State::kEnded;
      if (before == State::kQueued) --minion.load;
      if (before != State::kRunning) continue;
      --minion.load;
      ++minion.free_slots;
      StartTasks(&minion);
    }
  }

  const Scenario& scenario_;
  const Trace& trace_;
  BaselinePolicy choose_;
  std::mt19937_64 random_;
  std::vector<BaselineMinion> minions_;
  std::vector<EntryView> views_;
  std::vector<BaselineTask> tasks_;
  std::vector<std::size_t> first_task_index_;
  std::vector<std::size_t> unfinished_tasks_;
  std::vector<JobResult> results_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  BootTime now_{0};
};

}  // namespace

std::size_t ChooseRandom(const EntryView& view) {
  std::vector<std::size_t> candidates;
  for (std::size_t n = 0; n < view.known_lost.size(); ++n) {
    if (!view.known_lost[n]) candidates.push_back(n);
  }
  return candidates[view.random_value % candidates.size()];
}

std::size_t ChooseRoundRobin(const EntryView& view) {
  std::vector<std::size_t> candidates;
  for (std::size_t n = 0; n < view.known_lost.size(); ++n) {
    if (!view.known_lost[n]) candidates.push_back(n);
  }
  return candidates[view.placed_tasks % candidates.size()];
}

std::size_t ChooseLeastKnownLoad(const EntryView& view) {
  const std::size_t minions = view.known_lost.size();
  const std::size_t offset = view.random_value % minions;
  std::size_t best = minions;
  for (std::size_t n = 0; n < minions; ++n) {
    const std::size_t i = (n + offset) % minions;
    if (view.known_lost[i]) continue;
    if (best == minions || view.known_load[i] < view.known_load[best]) best = i;
  }
  return best;
}

const std::vector<Baseline>& AllBaselines() {
  static const std::vector<Baseline> all{
      {"random", ChooseRandom},
      {"round_robin", ChooseRoundRobin},
      {"least_known_load", ChooseLeastKnownLoad}};
  return all;
}

std::vector<JobResult> RunBaseline(const Scenario& scenario, const Trace& trace,
                                   BaselinePolicy choose) {
  return BaselineRun(scenario, trace, choose).Run();
}

}  // namespace dottereltrack::bench
