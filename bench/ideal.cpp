#include "ideal.h"

#include <algorithm>
#include <limits>
#include <map>
#include <queue>
#include <tuple>

namespace dottereltrack::bench {
namespace {

constexpr BootTime kNever = BootTime::max();

struct IdealMinion {
  std::uint32_t free_slots = 0;
  double time_ratio = 1.0;
  // Tasks that would end later than this are not started.
  BootTime usable_until = kNever;
};

struct WaitingJob {
  // Indexes of the tasks that have not started, in ascending order of run time.
  std::vector<std::uint32_t> tasks;
  std::size_t unfinished = 0;
  std::map<std::pair<std::size_t, std::uint32_t>, bool> running;
};

enum class EventKind { kTaskEnds, kDisturbance, kCancel, kArrival };

struct Event {
  BootTime at{0};
  EventKind kind = EventKind::kArrival;
  // Index of a job or disturbance.
  std::size_t index = 0;
  std::uint32_t task = 0;
  std::size_t minion = 0;
  friend auto operator<=>(const Event&, const Event&) = default;
};

class IdealScheduler {
 public:
  IdealScheduler(const Scenario& scenario, const Trace& trace)
      : scenario_(scenario), trace_(trace), jobs_(trace.size()) {
    const Deployment& deployment = scenario.deployment;
    for (std::size_t n = 0; n < deployment.time_ratios.size(); ++n) {
      minions_.push_back(
          {SlotsOf(deployment, n), deployment.time_ratios[n], kNever});
    }
    for (const Disturbance& it : scenario.disturbances) {
      const bool makes_unusable = it.kind == DisturbanceKind::kMinionFails ||
                                  it.kind == DisturbanceKind::kMinionLost;
      if (makes_unusable) minions_[it.minion].usable_until = it.at;
    }
    for (const TeamShare& team : scenario.teams) {
      if (team.max_in_progress > 0) quotas_[team.name] = team.max_in_progress;
    }
    for (const TraceJob& job : trace) {
      results_.push_back(IncompleteResult(scenario, job));
    }
  }

  std::vector<JobResult> Run() {
    for (std::size_t n = 0; n < trace_.size(); ++n) {
      events_.push({trace_[n].at, EventKind::kArrival, n});
      if (trace_[n].cancel_at > BootTime{0}) {
        events_.push({trace_[n].cancel_at, EventKind::kCancel, n});
      }
    }
    for (std::size_t n = 0; n < scenario_.disturbances.size(); ++n) {
      events_.push({scenario_.disturbances[n].at, EventKind::kDisturbance, n});
    }
    while (!events_.empty()) {
      now_ = events_.top().at;
      while (!events_.empty() && events_.top().at == now_) {
        const Event event = events_.top();
        events_.pop();
        Handle(event);
      }
      StartTasks();
    }
    return results_;
  }

 private:
  void Handle(const Event& event) {
    switch (event.kind) {
      case EventKind::kArrival:
        return Arrive(event.index);
      case EventKind::kTaskEnds:
        return EndTask(event);
      case EventKind::kCancel:
        return Cancel(event.index);
      case EventKind::kDisturbance: {
        const Disturbance& it = scenario_.disturbances[event.index];
        if (it.kind == DisturbanceKind::kMinionSlows) {
          minions_[it.minion].time_ratio *= it.factor;
        }
        if (it.kind == DisturbanceKind::kMinionReturns) {
          minions_[it.minion].usable_until = kNever;
        }
        return;
      }
    }
  }

  void Arrive(std::size_t n) {
    const auto& tasks = trace_[n].tasks;
    WaitingJob& job = jobs_[n];
    job.unfinished = tasks.size();
    for (std::uint32_t i = 0; i < tasks.size(); ++i) job.tasks.push_back(i);
    std::stable_sort(job.tasks.begin(), job.tasks.end(),
                     [&](std::uint32_t a, std::uint32_t b) {
                       return tasks[a].work < tasks[b].work;
                     });
    waiting_.push_back(n);
  }

  void EndTask(const Event& event) {
    WaitingJob& job = jobs_[event.index];
    if (job.running.erase({event.minion, event.task}) == 0) return;
    ++minions_[event.minion].free_slots;
    --in_progress_[trace_[event.index].team];
    if (--job.unfinished > 0) return;
    results_[event.index] =
        CompleteResult(scenario_, trace_[event.index],
                       now_ + 2 * scenario_.deployment.client_delay);
  }

  void Cancel(std::size_t n) {
    WaitingJob& job = jobs_[n];
    for (const auto& [placement, unused] : job.running) {
      ++minions_[placement.first].free_slots;
      --in_progress_[trace_[n].team];
    }
    job.running.clear();
    job.tasks.clear();
  }

  void StartTasks() {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      WaitingJob& job = jobs_[*it];
      while (!job.tasks.empty() && TryStartTask(*it, job.tasks.back())) {
        job.tasks.pop_back();
      }
      if (!HasUsableSlot()) break;
      it = job.tasks.empty() ? waiting_.erase(it) : it + 1;
    }
  }

  bool HasUsableSlot() const {
    return std::any_of(minions_.begin(), minions_.end(),
                       [&](const IdealMinion& it) {
                         return it.free_slots > 0 && it.usable_until > now_;
                       });
  }

  bool TryStartTask(std::size_t n, std::uint32_t task) {
    const TraceJob& job = trace_[n];
    const auto quota = quotas_.find(job.team);
    if (quota != quotas_.end() && in_progress_[job.team] >= quota->second) {
      return false;
    }
    std::size_t best = minions_.size();
    for (std::size_t i = 0; i < minions_.size(); ++i) {
      const IdealMinion& it = minions_[i];
      if (it.free_slots == 0 ||
          EndTimeOf(it, job.tasks[task]) > it.usable_until) {
        continue;
      }
      const bool faster =
          best == minions_.size() || it.time_ratio < minions_[best].time_ratio;
      if (faster) best = i;
    }
    if (best == minions_.size()) return false;
    --minions_[best].free_slots;
    ++in_progress_[job.team];
    jobs_[n].running[{best, task}] = true;
    events_.push({EndTimeOf(minions_[best], job.tasks[task]),
                  EventKind::kTaskEnds, n, task, best});
    return true;
  }

  BootTime EndTimeOf(const IdealMinion& minion, const TraceTask& task) const {
    return now_ +
           BootTime{static_cast<std::int64_t>(
               static_cast<double>(task.work.count()) * minion.time_ratio)};
  }

  const Scenario& scenario_;
  const Trace& trace_;
  std::vector<WaitingJob> jobs_;
  std::vector<IdealMinion> minions_;
  std::map<std::string, std::uint32_t> quotas_;
  std::map<std::string, std::uint32_t> in_progress_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::size_t> waiting_;
  std::vector<JobResult> results_;
  BootTime now_{0};
};

}  // namespace

std::vector<JobResult> RunIdeal(const Scenario& scenario, const Trace& trace) {
  return IdealScheduler(scenario, trace).Run();
}

std::vector<JobResult> RunUnloadedIdeal(const Scenario& scenario,
                                        const Trace& trace) {
  const Deployment& deployment = scenario.deployment;
  const double fastest = *std::min_element(deployment.time_ratios.begin(),
                                           deployment.time_ratios.end());
  std::vector<JobResult> results;
  for (const TraceJob& job : trace) {
    BootTime longest{0};
    for (const TraceTask& task : job.tasks) {
      longest = std::max(longest, task.work);
    }
    const double run_time = std::max(
        static_cast<double>(longest.count()) * fastest,
        static_cast<double>(WorkOf(job).count()) / TotalSpeed(deployment));
    results.push_back(
        CompleteResult(scenario, job,
                       job.at + 2 * deployment.client_delay +
                           BootTime{static_cast<std::int64_t>(run_time)}));
  }
  return results;
}

}  // namespace dottereltrack::bench
