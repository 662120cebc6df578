#include "core/pool/entry/followers.h"

#include <optional>
#include <string>
#include <utility>

#include "core/pool/entry/accepted_jobs.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/pending_submissions.h"
#include "core/pool/entry/submission.h"

namespace dottereltrack::pool {
namespace {

// Lets a peer wait for a job that this entry has or is about to run.
EntryChanges AddFollower(const EntryBoard& board, LinkId link,
                         const FollowJob& message, const Now& now) {
  EntryChanges changes;
  const CallId call{board.next_forwarded_call};
  changes.Add(Put<ForwardedCall>{{call, link, message.job}});
  changes.Add(SendMessage{
      link, ForwardedJobEnded{message.job, ForwardedOutcome::kAtWork}});
  if (IsActiveJob(board, message.job)) {
    JobRow row = WithWaiter(*board.jobs.Find(message.job), call,
                            message.client_timeout, now);
    row.is_from_peer = true;
    changes.Add(Put<JobRow>{std::move(row)});
    changes.Add(Decision{Severity::kFailure,
                         "job_repeated",
                         message.job,
                         {{"reason", "another entry waits for the job"},
                          {"entry", message.address.host}},
                         {}});
    return changes;
  }
  PendingSubmission held = SubmissionsOf(board, message.job).first->second;
  held.submission.call = call;
  held.submission.client_timeout = message.client_timeout;
  held.submission.is_from_peer = true;
  held.submission.source = "link " + std::to_string(link.value);
  held.received_at = now.boot;
  changes.Add(Put<PendingSubmission>{std::move(held)});
  return changes;
}

// Lets the peer run a job of held submissions, which are to follow it. The peer
// is asked unless it has been before, over this entry's own link to it.
EntryChanges LetPeerRun(const EntryBoard& board, LinkId link,
                        std::optional<LinkId> own_link,
                        const FollowJob& message) {
  EntryChanges changes;
  const auto [begin, end] = SubmissionsOf(board, message.job);
  if (begin == end) return changes;
  if (own_link && IsAsked(begin->second, *own_link)) return changes;
  changes.Add(
      SendMessage{link, FollowJob{message.job, board.settings.address,
                                  begin->second.submission.client_timeout}});
  for (auto it = begin; it != end; ++it) {
    PendingSubmission held = it->second;
    held.unanswered.push_back(link);
    changes.Add(Put<PendingSubmission>{std::move(held)});
  }
  return changes;
}

ForwardedJobEnded AnswerOfPastJob(const EntryBoard& board, std::uint64_t job) {
  const PastJob* past = board.past_jobs.Find(job);
  if (past == nullptr) return {job, ForwardedOutcome::kUnknown};
  switch (past->end) {
    case JobEnd::kCompleted:
      return {job, ForwardedOutcome::kCompleted};
    case JobEnd::kFailed:
      return {job, ForwardedOutcome::kFailed};
    case JobEnd::kCancelled:
      return {job, ForwardedOutcome::kCancelled};
    case JobEnd::kGivenUp:
      break;
  }
  return {job, ForwardedOutcome::kGivenUp,
          MayHaveRuns(board, job) ? board.settings.max_forwarded_run_time
                                  : milliseconds{0}};
}

}  // namespace

EntryChanges HandleFollowJob(const EntryBoard& board, LinkId link,
                             const FollowJob& message, const Now& now) {
  const KnownEntry* asker = board.peers.Find(message.address);
  const auto own_link = asker == nullptr ? std::nullopt : asker->link;
  if (IsActiveJob(board, message.job)) {
    const auto owner = board.jobs.Find(message.job)->forwarded_to;
    // Otherwise the asker has ended the job, and its message is on its way.
    const bool is_owned_by_asker =
        owner && (owner == own_link || owner == link);
    if (!is_owned_by_asker) return AddFollower(board, link, message, now);
  } else if (HasSubmissions(board, message.job) &&
             board.settings.address < message.address) {
    return AddFollower(board, link, message, now);
  }
  EntryChanges changes;
  const ForwardedJobEnded answer = AnswerOfPastJob(board, message.job);
  changes.Add(SendMessage{link, answer});
  if (answer.outcome == ForwardedOutcome::kUnknown ||
      answer.outcome == ForwardedOutcome::kGivenUp) {
    changes.Append(LetPeerRun(board, link, own_link, message));
    changes.Append(RecordPeerJob(board, message.address, message.job, now));
  }
  return changes;
}

}  // namespace dottereltrack::pool
