#include "core/entry/starts.h"

#include <algorithm>
#include <map>
#include <span>

#include "core/entry/agent_messages.h"

namespace dottereltrack {
namespace {

// Limit for the payload bytes in one message, which keeps it below the frame
// limit of 8 MiB. A message with a single start may exceed it.
constexpr std::size_t kMaxBytesPerMessage = 4U << 20;

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

Task TaskAfterSend(const Task& task, const AgentRow& agent,
                   BootTime expected_end, const Now& now) {
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

std::size_t PayloadBytes(const EntryBoard& board, const Placement& placement) {
  const Job& job = *board.jobs.Find(placement.task.submission);
  return job.body->tasks[placement.task.index].payload->size();
}

// Sends as many of the placements as fit into one message, and at least one.
// Updates `agent` for the message and returns the number of placements sent.
std::size_t SendStartMessage(const EntryBoard& board,
                             std::span<const Placement> placements,
                             const Now& now, AgentRow* agent,
                             EntryChanges* changes) {
  Starts message;
  message.fence = agent->fence;
  message.seq = agent->next_seq;
  std::size_t bytes = 0;
  for (const Placement& it : placements) {
    bytes += PayloadBytes(board, it);
    const bool message_is_full =
        bytes > kMaxBytesPerMessage ||
        message.tasks.size() >= board.settings.max_starts_per_message;
    if (message_is_full && !message.tasks.empty()) break;
    const Task& task = *board.tasks.Find(it.task);
    const Job& job = *board.jobs.Find(it.task.submission);
    message.tasks.push_back(MakeStart(job, task, *agent, now));
    changes->Add(Put<Task>{TaskAfterSend(task, *agent, it.expected_end, now)});
  }
  const std::size_t n = message.tasks.size();
  changes->Add(Count{Counter::kStartsSent, n});
  changes->Add(Count{Counter::kMessagesToAgents});
  changes->Add(SendToAgent{agent->link, std::move(message)});
  *agent = AgentRowAfterSend(*agent, now);
  return n;
}

EntryChanges SendStartsToAgent(const EntryBoard& board, const AgentRow& agent,
                               std::span<const Placement> placements,
                               const Now& now) {
  EntryChanges changes;
  AgentRow next = agent;
  while (!placements.empty()) {
    const std::size_t n =
        SendStartMessage(board, placements, now, &next, &changes);
    placements = placements.subspan(n);
  }
  changes.Add(Put<AgentRow>{next});
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
    changes.Append(
        SendStartsToAgent(board, *board.agents.Find(id), tasks, now));
  }
  return changes;
}

}  // namespace dottereltrack
