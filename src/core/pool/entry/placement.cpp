#include "core/pool/entry/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

#include "core/pool/entry/crashes.h"
#include "core/pool/entry/evacuation.h"

namespace dottereltrack::pool {
namespace {

// The cost of a minion on which the task has failed before is multiplied by
// this, so that it is chosen only if no other has enough free resources.
constexpr double kFailedBeforeCostFactor = 100;

struct WaitingTask {
  const TaskRow* task = nullptr;
  const JobRow* job = nullptr;
  // A minion has crashed with a run of the task. Most suspect tasks are not the
  // cause, but those that are cost the runs beside them, so they are placed
  // after all others.
  bool is_suspect = false;
  // Cannot meet its goal any more; is placed after tasks that still can.
  bool is_late = false;
  BootTime latest_start{0};
  // Minions that are slower than this would miss the goal; infinite for a task
  // that is late, and if no minion is fast enough.
  double max_slowness = std::numeric_limits<double>::infinity();
};

bool IsMoreUrgent(const WaitingTask& a, const WaitingTask& b) {
  return std::tuple(a.is_suspect, a.is_late, a.latest_start, a.task->key) <
         std::tuple(b.is_suspect, b.is_late, b.latest_start, b.task->key);
}

std::vector<WaitingTask> CollectWaitingTasks(const EntryBoard& board,
                                             const Now& now) {
  std::vector<WaitingTask> waiting;
  for (const TaskKey& key : board.waiting_tasks) {
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    const TaskRow* task = board.tasks.Find(key);
    const BootTime latest_start = job->goal_at - task->estimate;
    waiting.push_back({task, job, IsSuspect(board, key),
                       latest_start < now.boot, latest_start});
  }
  std::sort(waiting.begin(), waiting.end(), &IsMoreUrgent);
  return waiting;
}

// An agent and the starts that this placement has assigned to it.
struct Candidate {
  const AgentRow* agent = nullptr;
  Resources free;
  double cost = 0;
  // The minion has a run of a suspect task, or a start of one is on its way.
  bool has_suspect = false;
  std::vector<UnreportedStart> starts;
};

bool HasSuspect(const AgentRow& agent) {
  const auto& starts = agent.unreported_starts;
  return agent.load.has_suspect ||
         std::any_of(starts.begin(), starts.end(),
                     [](const auto& it) { return it.is_suspect; });
}

// Share of the minion's processors that is in use.
double UsedShare(const Candidate& candidate) {
  const auto total =
      static_cast<double>(candidate.agent->hello->capacity.cpu_millis);
  if (total <= 0) return 1;
  return 1 - static_cast<double>(candidate.free.cpu_millis) / total;
}

std::vector<Candidate> CollectCandidates(const EntryBoard& board) {
  std::vector<Candidate> candidates;
  for (const auto& [link, agent] : board.agents) {
    if (!IsUsable(board, agent) || agent.free.cpu_millis <= 0) continue;
    candidates.push_back({&agent,
                          agent.free,
                          std::exp(agent.load.log_slowness),
                          HasSuspect(agent),
                          {}});
  }
  return candidates;
}

// Smallest slowness among the minions of a service that accept runs, with or
// without free resources.
double FindLowestSlowness(const EntryBoard& board, const std::string& service) {
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [link, agent] : board.agents) {
    if (!IsUsable(board, agent) || agent.hello->service != service) continue;
    lowest = std::min(lowest, std::exp(agent.load.log_slowness));
  }
  return lowest;
}

// Sets the slowness up to which a minion can meet the task's goal. A task that
// some minion can finish in time does not start on one that cannot: it would
// be late for certain, while its place on a faster minion may become free.
void SetMaxSlowness(const Now& now, double lowest_slowness, WaitingTask* it) {
  if (it->is_late || it->is_suspect || it->task->estimate.count() <= 0) return;
  // The fast minions may be those on which the task has failed.
  if (!it->task->failed_minions.empty()) return;
  using Microseconds = std::chrono::duration<double, std::micro>;
  const double remaining_us = Microseconds{it->job->goal_at - now.boot}.count();
  const double max_slowness =
      remaining_us / Microseconds{it->task->estimate}.count();
  if (lowest_slowness <= max_slowness) it->max_slowness = max_slowness;
}

bool HasFailedOn(const TaskRow& task, const std::string& minion) {
  const auto& failed = task.failed_minions;
  return std::find(failed.begin(), failed.end(), minion) != failed.end();
}

Candidate* ChooseCandidate(std::vector<Candidate>* candidates,
                           const WaitingTask& waiting) {
  Candidate* best = nullptr;
  double best_cost = 0;
  for (Candidate& it : *candidates) {
    if (!Fits(waiting.task->needs, it.free) ||
        it.agent->hello->service != waiting.job->service ||
        it.cost > waiting.max_slowness) {
      continue;
    }
    // Two suspect tasks on one minion could not be told apart after a crash.
    if (waiting.is_suspect && it.has_suspect) continue;
    double cost = waiting.is_suspect ? 1 + UsedShare(it) : it.cost;
    if (HasFailedOn(*waiting.task, it.agent->hello->minion)) {
      cost *= kFailedBeforeCostFactor;
    }
    const bool is_better =
        best == nullptr || cost < best_cost ||
        (cost == best_cost && it.free.cpu_millis > best->free.cpu_millis);
    if (!is_better) continue;
    best = &it;
    best_cost = cost;
  }
  return best;
}

void PlaceTask(const WaitingTask& waiting, Candidate* candidate, const Now& now,
               EntryChanges* changes) {
  const AgentRow& agent = *candidate->agent;
  TaskRow task = *waiting.task;
  task.state = TaskState::kPlaced;
  // The wall clock makes the number higher than those that other entries have
  // given to earlier runs of the same task.
  task.run_number =
      std::max<std::uint64_t>(task.run_number + 1, now.wall.count());
  task.link = agent.link;
  task.minion = agent.hello->minion;
  task.placed_at = now.boot;
  candidate->free -= task.needs;
  candidate->has_suspect = candidate->has_suspect || waiting.is_suspect;
  const std::uint64_t sequence =
      agent.starts_sent + candidate->starts.size() + 1;
  candidate->starts.push_back({sequence, task.needs, waiting.is_suspect});
  changes->Add(SendMessage{agent.link, StartRun{sequence,
                                                {task.key, task.run_number},
                                                waiting.job->payload,
                                                task.needs,
                                                task.estimate,
                                                waiting.is_suspect}});
  changes->Add(Put<TaskRow>{task});
}

// Returns the agent's row after the starts of this placement.
AgentRow MakeUpdatedRow(const Candidate& candidate) {
  AgentRow row = *candidate.agent;
  row.free = candidate.free;
  row.starts_sent += candidate.starts.size();
  row.unreported_starts.insert(row.unreported_starts.end(),
                               candidate.starts.begin(),
                               candidate.starts.end());
  return row;
}

}  // namespace

EntryChanges PlaceTasks(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.waiting_tasks.empty()) return changes;
  auto waiting = CollectWaitingTasks(board, now);
  if (waiting.empty()) return changes;
  std::vector<Candidate> candidates = CollectCandidates(board);
  std::map<std::uint64_t, const JobRow*> started_jobs;
  std::map<std::string, double> lowest_slowness;
  for (WaitingTask& it : waiting) {
    const std::string& service = it.job->service;
    if (!lowest_slowness.contains(service)) {
      lowest_slowness[service] = FindLowestSlowness(board, service);
    }
    SetMaxSlowness(now, lowest_slowness[service], &it);
    Candidate* candidate = ChooseCandidate(&candidates, it);
    if (candidate == nullptr) continue;
    PlaceTask(it, candidate, now, &changes);
    if (!it.job->may_have_started) started_jobs.emplace(it.job->id, it.job);
  }
  for (const auto& [id, job] : started_jobs) {
    JobRow row = *job;
    row.may_have_started = true;
    changes.Add(Put<JobRow>{row});
  }
  for (const Candidate& it : candidates) {
    if (!it.starts.empty()) changes.Add(Put<AgentRow>{MakeUpdatedRow(it)});
  }
  return changes;
}

}  // namespace dottereltrack::pool
