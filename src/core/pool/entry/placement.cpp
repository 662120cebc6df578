#include "core/pool/entry/placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace dottereltrack::pool {
namespace {

// A minion on which the task has failed before counts as this much slower, so
// that it is taken only if no other has room.
constexpr double kFailedBeforePenalty = 100;

struct WaitingTask {
  const TaskRow* task = nullptr;
  const JobRow* job = nullptr;
  // Past its goal; goes after those that can still meet theirs.
  bool is_late = false;
  BootTime latest_start{0};
};

bool GoesBefore(const WaitingTask& a, const WaitingTask& b) {
  return std::tuple(a.is_late, a.latest_start, a.task->key) <
         std::tuple(b.is_late, b.latest_start, b.task->key);
}

std::vector<WaitingTask> CollectWaiting(const EntryBoard& board,
                                        const Now& now) {
  std::vector<WaitingTask> waiting;
  for (const auto& [id, job] : board.jobs) {
    if (job.state != JobState::kActive) continue;
    const auto [begin, end] = TasksOf(board, id);
    for (auto it = begin; it != end; ++it) {
      const TaskRow& task = it->second;
      if (task.state != TaskState::kWaiting) continue;
      const BootTime latest_start = job.goal_at - task.estimate;
      waiting.push_back({&task, &job, latest_start < now.boot, latest_start});
    }
  }
  std::sort(waiting.begin(), waiting.end(), &GoesBefore);
  return waiting;
}

// Agents as this round changes them.
using Candidates = std::map<LinkId, AgentRow>;

double CostOf(const AgentRow& agent, const TaskRow& task) {
  double cost = std::exp(agent.load.log_slowness);
  const auto& failed = task.failed_on;
  if (std::find(failed.begin(), failed.end(), agent.hello.minion) !=
      failed.end()) {
    cost *= kFailedBeforePenalty;
  }
  return cost;
}

AgentRow* ChooseAgent(Candidates* candidates, const WaitingTask& waiting) {
  AgentRow* best = nullptr;
  double best_cost = 0;
  for (auto& [link, agent] : *candidates) {
    if (!agent.load.accepting || agent.hello.service != waiting.job->service ||
        !Fits(waiting.task->needs, agent.free)) {
      continue;
    }
    const double cost = CostOf(agent, *waiting.task);
    const bool is_better =
        best == nullptr || cost < best_cost ||
        (cost == best_cost && agent.free.cpu_millis > best->free.cpu_millis);
    if (!is_better) continue;
    best = &agent;
    best_cost = cost;
  }
  return best;
}

void Place(const WaitingTask& waiting, AgentRow* agent, const Now& now,
           EntryChanges* changes) {
  TaskRow task = *waiting.task;
  task.state = TaskState::kPlaced;
  // The wall clock makes numbers of other entries for the same task lower, if
  // they were given earlier.
  task.run_number =
      std::max<std::uint64_t>(task.run_number + 1, now.wall.count());
  task.link = agent->link;
  task.minion = agent->hello.minion;
  task.placed_at = now.boot;
  ++agent->starts_sent;
  agent->free -= task.needs;
  agent->unreported.push_back({agent->starts_sent, task.needs});
  changes->Add(SendMessage{agent->link, StartRun{agent->starts_sent,
                                                 {task.key, task.run_number},
                                                 waiting.job->payload,
                                                 task.needs,
                                                 task.estimate}});
  changes->Add(Put<TaskRow>{task});
}

}  // namespace

EntryChanges PlaceTasks(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const auto waiting = CollectWaiting(board, now);
  if (waiting.empty()) return changes;
  Candidates candidates(board.agents.begin(), board.agents.end());
  std::map<std::uint64_t, const JobRow*> offered;
  for (const WaitingTask& it : waiting) {
    AgentRow* agent = ChooseAgent(&candidates, it);
    if (agent == nullptr) continue;
    Place(it, agent, now, &changes);
    if (!it.job->offered) offered.emplace(it.job->id, it.job);
  }
  for (const auto& [id, job] : offered) {
    JobRow row = *job;
    row.offered = true;
    changes.Add(Put<JobRow>{row});
  }
  for (const auto& [link, agent] : candidates) {
    if (agent == *board.agents.Find(link)) continue;
    changes.Add(Put<AgentRow>{agent});
  }
  return changes;
}

}  // namespace dottereltrack::pool
