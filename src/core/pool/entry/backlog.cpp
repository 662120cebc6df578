#include "core/pool/entry/backlog.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/pool/entry/crashes.h"
#include "core/pool/entry/evacuation.h"

namespace dottereltrack::pool {
namespace {

constexpr double kMillisPerCore = 1'000;

// Waiting work of a service, as in WorkOf.
struct WaitingWork {
  double total = 0;
  // Work of the tasks that are placed before a new one: all but those that are
  // late or suspect.
  double ahead = 0;
};

// The board counts as late what was late at the begin of the turn.
double OnTimeWork(const UnstartedWork& sum, const Now& now) {
  double work = sum.on_time;
  for (const auto& [latest_start, part] : sum.on_time_by_start) {
    if (latest_start >= now.boot) break;
    work -= part.work;
  }
  return std::max(work, 0.0);
}

WaitingWork SumWaitingWork(const EntryBoard& board, const std::string& service,
                           const Now& now) {
  WaitingWork work;
  for (const TaskKey& key : board.waiting_tasks) {
    const TaskRow& task = *board.tasks.Find(key);
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (job->service != service) continue;
    work.total += WorkOf(task);
    const bool is_late = job->goal_at - task.estimate < now.boot;
    if (!is_late && !IsSuspect(board, key)) work.ahead += WorkOf(task);
  }
  const auto unstarted = board.unstarted_work.find(service);
  if (unstarted != board.unstarted_work.end()) {
    work.total += unstarted->second.total;
    work.ahead += OnTimeWork(unstarted->second, now);
  }
  return work;
}

// Processors of the minions of a service that accept runs, in thousandths of a
// core.
struct ServiceCapacity {
  double total = 0;
  double used = 0;
  // Total divided by the minions' slowness.
  double speed = 0;
};

ServiceCapacity SumCapacity(const EntryBoard& board, const std::string& service,
                            const Now& now) {
  ServiceCapacity sum;
  for (const auto& [link, agent] : board.agents) {
    if (agent.hello->service != service || !IsUsable(board, agent)) continue;
    const auto total =
        static_cast<double>(UsableCapacity(board, agent, now).cpu_millis);
    sum.total += total;
    sum.used += total - static_cast<double>(agent.free.cpu_millis);
    sum.speed += total / std::exp(agent.load.log_slowness);
  }
  return sum;
}

// Thousandths of a core that this entry's runs use.
double SumOwnUse(const EntryBoard& board, const std::string& service) {
  double used = 0;
  for (const TaskKey& key : board.placed_tasks) {
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (job->service != service) continue;
    used += static_cast<double>(board.tasks.Find(key)->needs.cpu_millis);
  }
  return used;
}

milliseconds DelayOf(double work, double rate) {
  if (work == 0 || rate == 0) return milliseconds{0};
  return milliseconds{std::llround(work / rate)};
}

}  // namespace

double WorkOf(const TaskRow& task) {
  return static_cast<double>(task.needs.cpu_millis) *
         static_cast<double>(task.estimate.count());
}

double WorkOf(const UnstartedTasks& tasks) {
  return static_cast<double>(tasks.count) *
         static_cast<double>(tasks.needs.cpu_millis) *
         static_cast<double>(tasks.estimate.count());
}

double SharersOfMinions(const EntryBoard& board) {
  std::size_t entry_count = 1;
  for (const auto& [address, peer] : board.peers) {
    if (peer.link) ++entry_count;
  }
  return static_cast<double>(
      std::min(entry_count, board.settings.max_entry_links));
}

double EstimateDrainRate(const EntryBoard& board, const std::string& service,
                         const Now& now) {
  const ServiceCapacity capacity = SumCapacity(board, service, now);
  // An entry with more clients than others gets a larger share of the resources
  // that become free.
  double share = 1 / SharersOfMinions(board);
  if (capacity.used > 0) {
    share = std::max(share, SumOwnUse(board, service) / capacity.used);
  }
  return capacity.speed * std::min(share, 1.0);
}

milliseconds EstimateBacklogDelay(const EntryBoard& board,
                                  const std::string& service, const Now& now) {
  const WaitingWork work = SumWaitingWork(board, service, now);
  if (work.ahead == 0) return milliseconds{0};
  return DelayOf(work.ahead, EstimateDrainRate(board, service, now));
}

milliseconds EstimateDrainTime(const EntryBoard& board,
                               const std::string& service, const Now& now) {
  return DelayOf(SumWaitingWork(board, service, now).total,
                 EstimateDrainRate(board, service, now));
}

std::vector<ServiceBacklog> MeasureBacklogs(const EntryBoard& board,
                                            const Now& now) {
  std::set<std::string> services;
  for (const auto& [link, agent] : board.agents) {
    services.insert(agent.hello->service);
  }
  for (const TaskKey& key : board.waiting_tasks) {
    const JobRow* job = board.jobs.Find(key.job);
    if (job != nullptr && job->state == JobState::kActive) {
      services.insert(job->service);
    }
  }
  for (const auto& [service, work] : board.unstarted_work) {
    services.insert(service);
  }
  std::vector<ServiceBacklog> backlogs;
  for (const std::string& service : services) {
    const WaitingWork work = SumWaitingWork(board, service, now);
    const double rate =
        work.ahead > 0 ? EstimateDrainRate(board, service, now) : 0;
    backlogs.push_back({service, std::llround(work.total / kMillisPerCore),
                        DelayOf(work.ahead, rate)});
  }
  return backlogs;
}

}  // namespace dottereltrack::pool
