#include "baselines.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

#include "distances.h"

namespace dottereltrack::bench {
namespace {

// Delay until a lost minion is detected, as in the real system.
constexpr BootTime kLossNoticedAfter{seconds{3}};
constexpr BootTime kFailingRunTime{1'000};

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
  std::uint32_t free = 0;
  std::uint32_t load = 0;
  double time_ratio = 1.0;
  bool failing = false;
  bool lost = false;
};

enum class EventKind {
  kDisturbance,
  kNoticed,
  kSubmit,
  kSent,
  kRan,
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
    const Deployment& where = scenario.deployment;
    for (const double ratio : where.time_ratios) {
      BaselineMinion minion;
      minion.free = where.slots;
      minion.time_ratio = ratio;
      minions_.push_back(minion);
    }
    EntryView view;
    view.known_load.resize(minions_.size());
    view.gone.resize(minions_.size());
    views_.assign(where.entries, view);
    for (std::size_t n = 0; n < trace.size(); ++n) {
      results_.push_back(IncompleteResult(scenario, trace[n]));
      first_task_.push_back(tasks_.size());
      open_.push_back(trace[n].tasks.size());
      for (std::uint32_t i = 0; i < trace[n].tasks.size(); ++i) {
        tasks_.push_back({n, i});
      }
      Schedule(trace[n].at + where.client_delay, EventKind::kSubmit, n);
      if (trace[n].cancel_at > BootTime{0}) {
        Schedule(trace[n].cancel_at + where.client_delay, EventKind::kCancel,
                 n);
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
        return Disturb(scenario_.disturbances[event.index]);
      case EventKind::kNoticed:
        for (EntryView& view : views_) view.gone[event.index] = true;
        return;
      case EventKind::kSubmit:
        return Submit(event.index);
      case EventKind::kSent:
        return Enqueue(event.index);
      case EventKind::kRan:
        return EndTask(event.index);
      case EventKind::kResult:
        return TakeResult(event);
      case EventKind::kCancel:
        return Cancel(event.index);
    }
  }

  void Schedule(BootTime at, EventKind kind, std::size_t index,
                std::uint32_t load = 0) {
    events_.push({at, kind, index, load});
  }

  void Disturb(const Disturbance& it) {
    BaselineMinion& minion = minions_[it.minion];
    if (it.kind == DisturbanceKind::kMinionFails) minion.failing = true;
    if (it.kind == DisturbanceKind::kMinionSlows) {
      minion.time_ratio *= it.factor;
    }
    if (it.kind == DisturbanceKind::kMinionLost) {
      minion.lost = true;
      Schedule(now_ + kLossNoticedAfter, EventKind::kNoticed, it.minion);
    }
  }

  void Submit(std::size_t n) {
    EntryView& view = views_[trace_[n].entry];
    for (std::uint32_t i = 0; i < trace_[n].tasks.size(); ++i) {
      view.random = random_();
      const std::size_t chosen = choose_(view);
      ++view.placed;
      ++view.known_load[chosen];
      const std::size_t id = first_task_[n] + i;
      tasks_[id].minion = chosen;
      Schedule(now_ + DelayTo(id), EventKind::kSent, id);
    }
  }

  BootTime DelayTo(std::size_t id) const {
    return DelayBetween(scenario_.deployment, trace_[tasks_[id].job].entry,
                        static_cast<int>(tasks_[id].minion));
  }

  void Enqueue(std::size_t id) {
    BaselineTask& task = tasks_[id];
    BaselineMinion& minion = minions_[task.minion];
    if (minion.lost || task.state == State::kEnded) return;
    task.state = State::kQueued;
    ++minion.load;
    minion.queue.push_back(id);
    StartTasks(&minion);
  }

  void StartTasks(BaselineMinion* minion) {
    while (minion->free > 0 && !minion->queue.empty()) {
      const std::size_t id = minion->queue.front();
      minion->queue.pop_front();
      BaselineTask& task = tasks_[id];
      if (task.state == State::kEnded) continue;
      task.state = State::kRunning;
      task.failed = minion->failing;
      --minion->free;
      const auto& work = trace_[task.job].tasks[task.index].work;
      const BootTime run_time{static_cast<std::int64_t>(
          static_cast<double>(work.count()) * minion->time_ratio)};
      Schedule(now_ + (task.failed ? kFailingRunTime : run_time),
               EventKind::kRan, id);
    }
  }

  void EndTask(std::size_t id) {
    BaselineTask& task = tasks_[id];
    BaselineMinion& minion = minions_[task.minion];
    if (minion.lost || task.state != State::kRunning) return;
    task.state = State::kEnded;
    --minion.load;
    ++minion.free;
    StartTasks(&minion);
    Schedule(now_ + DelayTo(id), EventKind::kResult, id, minion.load);
  }

  void TakeResult(const Event& event) {
    const BaselineTask& task = tasks_[event.index];
    const TraceJob& job = trace_[task.job];
    views_[job.entry].known_load[task.minion] = event.load;
    // A job with a failed task keeps its initial, incomplete result.
    if (task.failed || --open_[task.job] > 0) return;
    const BootTime ended_at = now_ + scenario_.deployment.client_delay;
    if (ended_at - job.at > job.deadline) return;
    results_[task.job] = CompleteResult(scenario_, job, ended_at);
  }

  void Cancel(std::size_t n) {
    for (std::uint32_t i = 0; i < trace_[n].tasks.size(); ++i) {
      BaselineTask& task = tasks_[first_task_[n] + i];
      BaselineMinion& minion = minions_[task.minion];
      const State before = task.state;
      task.state = State::kEnded;
      if (before == State::kQueued) --minion.load;
      if (before != State::kRunning) continue;
      --minion.load;
      ++minion.free;
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
  std::vector<std::size_t> first_task_;
  std::vector<std::size_t> open_;
  std::vector<JobResult> results_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  BootTime now_{0};
};

}  // namespace

std::size_t ChooseRandom(const EntryView& view) {
  std::vector<std::size_t> present;
  for (std::size_t n = 0; n < view.gone.size(); ++n) {
    if (!view.gone[n]) present.push_back(n);
  }
  return present[view.random % present.size()];
}

std::size_t ChooseRoundRobin(const EntryView& view) {
  std::vector<std::size_t> present;
  for (std::size_t n = 0; n < view.gone.size(); ++n) {
    if (!view.gone[n]) present.push_back(n);
  }
  return present[view.placed % present.size()];
}

std::size_t ChooseLeastKnownLoad(const EntryView& view) {
  const std::size_t minions = view.gone.size();
  const std::size_t offset = view.random % minions;
  std::size_t best = minions;
  for (std::size_t n = 0; n < minions; ++n) {
    const std::size_t i = (n + offset) % minions;
    if (view.gone[i]) continue;
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
