#include "core/pool/entry/forwarded_jobs.h"

#include <string>
#include <utility>

#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/pending_submissions.h"

namespace dottereltrack::pool {
namespace {

ForwardedOutcome OutcomeOf(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kCompleted:
      return ForwardedOutcome::kCompleted;
    case ReplyKind::kFailed:
      return ForwardedOutcome::kFailed;
    case ReplyKind::kCancelled:
      return ForwardedOutcome::kCancelled;
    case ReplyKind::kGivenUp:
    case ReplyKind::kUnknownJob:
    case ReplyKind::kCancelUndecided:
      return ForwardedOutcome::kGivenUp;
    case ReplyKind::kNoQueue:
    case ReplyKind::kNoConfig:
    case ReplyKind::kOverloaded:
    case ReplyKind::kNoMinions:
    case ReplyKind::kStopping:
    case ReplyKind::kUnsupported:
      return ForwardedOutcome::kRefused;
  }
  return ForwardedOutcome::kGivenUp;
}

// Why this entry does not take a forwarded job; empty if it does.
std::string FindRefusalReason(const EntryBoard& board,
                              const ForwardJob& message) {
  if (board.stopping) return "this process is stopping";
  if (message.config_version > board.config.version) {
    return "the configuration is older than the sender's";
  }
  if (board.overload.is_overloaded) return "this entry is overloaded";
  const JobRow* known = board.jobs.Find(message.job.id);
  // Two entries that have forwarded the job to each other would wait for ever.
  if (known != nullptr && known->forwarded_to) {
    return "this entry has forwarded the job itself";
  }
  return "";
}

}  // namespace

std::optional<JobSubmitted> AcceptForwardedJob(const EntryBoard& board,
                                               LinkId link,
                                               const ForwardJob& message,
                                               EntryChanges* changes) {
  const DemandRow* known = board.demands.Find(link);
  DemandRow demand = known == nullptr ? DemandRow{} : *known;
  demand.link = link;
  ++demand.received_jobs;
  changes->Add(Put<DemandRow>{demand});
  const std::string reason = FindRefusalReason(board, message);
  if (!reason.empty()) {
    changes->Add(SendMessage{
        link, ForwardedJobEnded{message.job.id, ForwardedOutcome::kRefused,
                                kRetryAfter}});
    changes->Add(Decision{Severity::kFailure,
                          "job_refused",
                          message.job.id,
                          {{"reason", reason}, {"request", message.request_id}},
                          {}});
    return std::nullopt;
  }
  const CallId call{board.next_forwarded_call};
  changes->Add(Put<ForwardedCall>{{call, link, message.job.id}});
  JobSubmitted submitted{call,         message.request_id,
                         message.host, message.path,
                         message.job,  message.client_timeout};
  submitted.is_from_peer = true;
  submitted.age = message.age;
  submitted.source = "link " + std::to_string(link.value);
  return submitted;
}

EntryChanges SendForwardedReply(const EntryBoard& board, const Reply& reply) {
  EntryChanges changes;
  const ForwardedCall* call = board.forwarded_calls.Find(reply.call);
  if (call == nullptr) return changes;
  changes.Add(Erase<ForwardedCall>{reply.call});
  changes.Add(SendMessage{
      call->link,
      ForwardedJobEnded{call->job, OutcomeOf(reply.kind), reply.retry_after}});
  return changes;
}

EntryChanges HandleWithdrawal(const EntryBoard& board, LinkId link,
                              const CancelJob& message, const Now& now) {
  for (const auto& [id, call] : board.forwarded_calls) {
    if (call.link != link || call.job != message.job) continue;
    return DropForwardedCall(board, call, "the caller closed its connection",
                             now);
  }
  return {};
}

EntryChanges DropForwardedCall(const EntryBoard& board,
                               const ForwardedCall& call,
                               const std::string& reason, const Now& now) {
  EntryChanges changes;
  changes.Add(Erase<ForwardedCall>{call.call});
  changes.Append(DropSubmission(board, call.call));
  if (const JobRow* job = board.jobs.Find(call.job)) {
    changes.Append(RemoveWaiter(board, *job, call.call, reason, now));
  }
  return changes;
}

std::vector<ForwardedCall> CallsOfLostPeers(const EntryBoard& board,
                                            const Now& now) {
  std::vector<ForwardedCall> calls;
  for (const auto& [id, call] : board.forwarded_calls) {
    const LinkRow* link = board.links.Find(call.link);
    if (link == nullptr || now.boot - link->last_received_at >=
                               board.settings.forwarded_job_timeout) {
      calls.push_back(call);
    }
  }
  return calls;
}

}  // namespace dottereltrack::pool
