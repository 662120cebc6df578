#include "core/entry/starts.h"

#include <algorithm>
#include <map>

#include "core/entry/agent_messages.h"

namespace dottereltrack {
namespace {

TaskStart MakeStart(const Job& job, const Task& task, const AgentRow& agent,
                    const Now& now) {
  const TaskSpec& spec = job.body->tasks[task.id.index];
  TaskStart start;
  start.id = task.id;
  start.job_size = job.task_count;
  start.body_digest = job.body_digest;
  start.minion_instance = agent.minion.instance;
  start.kind = job.body->kind;
  start.payload = spec.payload;
  start.needs = spec.needs;
  start.timeout = std::chrono::duration_cast<milliseconds>(
      std::max(job.deadline_at - now.boot, BootTime{0}));
  return start;
}

Task MarkSent(const Task& task, const AgentRow& agent, BootTime expected_end,
              const Now& now) {
  Task next = task;
  next.state = TaskState::kSent;
  next.agent = agent.id;
  next.holder = agent.id;
  next.fence = agent.fence;
  next.start_seq = agent.next_seq;
  next.sent_at = now.boot;
  next.expected_end = expected_end;
  return next;
}

EntryChanges SendToOne(const EntryBoard& board, const AgentRow& agent,
                       const std::vector<Placement>& placements,
                       const Now& now) {
  EntryChanges changes;
  Starts message;
  message.fence = agent.fence;
  message.seq = agent.next_seq;
  for (const Placement& it : placements) {
    const Task& task = *board.tasks.Find(it.task);
    const Job& job = *board.jobs.Find(it.task.submission);
    message.tasks.push_back(MakeStart(job, task, agent, now));
    changes.Add(Put<Task>{MarkSent(task, agent, it.expected_end, now)});
  }
  changes.Add(Count{Counter::kStartsSent, message.tasks.size()});
  changes.Add(Count{Counter::kMessagesToAgents});
  changes.Add(Put<AgentRow>{AfterSend(agent, now)});
  changes.Add(SendToAgent{agent.link, std::move(message)});
  return changes;
}

}  // namespace

EntryChanges SendStarts(const EntryBoard& board,
                        const std::vector<Placement>& placements,
                        const Now& now) {
  std::map<AgentId, std::vector<Placement>> by_agent;
  for (const Placement& placement : placements) {
    by_agent[placement.agent].push_back(placement);
  }
  EntryChanges changes;
  for (const auto& [id, tasks] : by_agent) {
    changes.Append(SendToOne(board, *board.agents.Find(id), tasks, now));
  }
  return changes;
}

}  // namespace dottereltrack
