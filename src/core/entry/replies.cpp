#include "core/entry/replies.h"

#include <limits>

namespace dottereltrack {

EntryChanges SendReply(const EntryBoard& board, const ReplyTo& reply_to,
                       Reply reply) {
  EntryChanges changes;
  if (const auto* call = std::get_if<CallId>(&reply_to)) {
    if (!board.open_calls.Contains(*call)) return changes;
    changes.Add(Erase<OpenCall>{*call});
    changes.Add(ReplyToCaller{*call, std::move(reply)});
    return changes;
  }
  const auto& peer = std::get<PeerRequest>(reply_to);
  changes.Add(
      SendToPeer{peer.link, ForwardReply{peer.request_id, std::move(reply)}});
  changes.Add(Count{Counter::kMessagesToPeers});
  return changes;
}

Answer AnswerOf(const EntryBoard& board, const Job& job) {
  Answer answer;
  answer.id = job.id;
  answer.complete = job.state == JobState::kComplete;
  answer.failure = job.failure;
  answer.outcomes.reserve(job.task_count);
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    const Task* task = board.tasks.Find({job.id, n});
    answer.outcomes.push_back(task->outcome.value());
  }
  return answer;
}

EntryChanges SendAnswerToWaiters(const EntryBoard& board, const Job& job) {
  EntryChanges changes;
  const auto first = board.waiters.LowerBound({job.id, ReplyTo{CallId{0}}});
  for (auto it = first; it != board.waiters.end(); ++it) {
    const Waiter& waiter = it->second;
    if (waiter.submission != job.id) break;
    changes.Append(SendReply(board, waiter.reply_to, AnswerOf(board, job)));
    changes.Add(Erase<Waiter>{waiter.Key()});
  }
  return changes;
}

}  // namespace dottereltrack
