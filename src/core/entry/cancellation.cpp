#include "core/entry/cancellation.h"

#include <map>

#include "core/entry/agent_messages.h"
#include "core/entry/outcomes.h"
#include "core/entry/replies.h"

namespace dottereltrack {
namespace {

Refusal MakeNotFoundRefusal() {
  Refusal refusal;
  refusal.kind = RefusalKind::kNotFound;
  refusal.message =
      "no job of that id is known here; submit again with the same key to "
      "learn "
      "its outcome";
  return refusal;
}

bool IsFinal(const Job& job) {
  return job.state == JobState::kComplete || job.state == JobState::kFailed;
}

// Returns the answer of a job that an earlier dispatcher completed, if the
// recovered ledger entries contain the output of every task.
std::optional<Answer> RecoveredAnswer(const EntryBoard& board,
                                      const SubmissionId& submission) {
  const WitnessRecord* witness = board.witnesses.Find(submission);
  if (witness != nullptr && witness->entry.closed) return std::nullopt;
  Answer answer;
  answer.id = submission;
  std::uint32_t job_size = 0;
  for (auto it = board.recovered_tasks.LowerBound({submission, 0});
       it != board.recovered_tasks.end() && it->first.submission == submission;
       ++it) {
    const LedgerEntry& entry = it->second.entry;
    const bool is_next_done_task = entry.state == LedgerState::kDone &&
                                   !entry.output_dropped &&
                                   entry.id.index == answer.outcomes.size();
    if (!is_next_done_task) return std::nullopt;
    answer.outcomes.emplace_back(Done{entry.output});
    job_size = entry.job_size;
  }
  if (job_size == 0 || answer.outcomes.size() != job_size) return std::nullopt;
  answer.complete = true;
  return answer;
}

}  // namespace

EntryChanges ReplyWithSubmission(const EntryBoard& board,
                                 const SubmissionId& submission,
                                 const ReplyTo& reply_to) {
  if (const Job* job = board.jobs.Find(submission)) {
    if (IsFinal(*job)) return SendReply(board, reply_to, AnswerOf(board, *job));
    return SendReply(board, reply_to, StillOpen{submission});
  }
  const auto* closed = board.closed_submissions.Find(submission);
  if (closed != nullptr && closed->refusal_sent) {
    return SendReply(board, reply_to, closed->refusal);
  }
  if (auto answer = RecoveredAnswer(board, submission)) {
    return SendReply(board, reply_to, std::move(*answer));
  }
  return SendReply(board, reply_to, MakeNotFoundRefusal());
}

EntryChanges CancelSubmission(const EntryBoard& board,
                              const SubmissionId& submission,
                              const ReplyTo& reply_to) {
  const Job* job = board.jobs.Find(submission);
  if (job == nullptr || IsFinal(*job)) {
    return ReplyWithSubmission(board, submission, reply_to);
  }
  EntryChanges changes;
  std::vector<TaskDecision> decisions;
  for (std::uint32_t n = 0; n < job->task_count; ++n) {
    const Task& task = *board.tasks.Find({submission, n});
    if (const auto proof = ProveNeverSent(task)) {
      decisions.push_back({task.id, NotRun{"cancelled", *proof}});
    } else if (task.state == TaskState::kSent) {
      changes.Add(Put<CancelRequest>{{task.id, task.agent}});
    }
  }
  if (decisions.empty()) {
    // No task can be ended now. The flag ends tasks that are still unresolved
    // once they are resolved, and tasks whose start is refused.
    Job next = *job;
    next.cancelled = true;
    changes.Add(Put<Job>{next});
  }
  changes.Append(FinishTasks(board, decisions));
  changes.Add(Put<Waiter>{{submission, reply_to}});
  return changes;
}

EntryChanges SendPendingCancels(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  std::map<AgentId, CancelTasks> messages;
  for (const auto& [id, request] : board.cancel_requests) {
    messages[request.agent].tasks.push_back(id);
    changes.Add(Erase<CancelRequest>{id});
  }
  for (auto& [id, message] : messages) {
    const AgentRow* agent = board.agents.Find(id);
    if (agent == nullptr || agent->phase != AgentPhase::kFenced) continue;
    message.fence = agent->fence;
    message.seq = agent->next_seq;
    changes.Add(SendToAgent{agent->link, std::move(message)});
    changes.Add(Put<AgentRow>{AgentRowAfterSend(*agent, now)});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

}  // namespace dottereltrack
