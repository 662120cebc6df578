#include "core/pool/entry/pending_submissions.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "core/pool/entry/accepted_jobs.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/submission.h"

namespace dottereltrack::pool {
namespace {

// Submissions of one job share the questions to the peers.
bool IsAsked(const EntryBoard& board, std::uint64_t job, LinkId link) {
  const auto [begin, end] = SubmissionsOf(board, job);
  return begin != end && IsAsked(begin->second, link);
}

// What the peers have announced about a job.
struct Announcements {
  bool has_job = false;
  // Of a peer whose link is lost.
  std::optional<BootTime> runs_end_by;
};

Announcements FindAnnouncements(const EntryBoard& board, std::uint64_t job) {
  Announcements found;
  const JobDigest digest = DigestOf(job);
  std::set<Endpoint> linked;
  std::vector<const PeerJobs*> lost;
  for (const auto& [link, peer] : board.peer_jobs) {
    if (!Contains(peer.jobs, digest)) continue;
    found.has_job = true;
    if (peer.lost_at) {
      lost.push_back(&peer);
    } else {
      linked.insert(peer.address);
    }
  }
  for (const PeerJobs* peer : lost) {
    // The same process, over a new link.
    if (linked.contains(peer->address)) continue;
    const BootTime end = *peer->lost_at + board.settings.max_forwarded_run_time;
    found.runs_end_by = std::max(found.runs_end_by.value_or(end), end);
  }
  return found;
}

// Sends the question to all linked peers.
std::vector<LinkId> AskPeers(const EntryBoard& board, const JobSubmitted& e,
                             EntryChanges* changes) {
  std::vector<LinkId> links;
  for (const auto& [link, peer] : board.peer_jobs) {
    if (peer.lost_at) continue;
    links.push_back(link);
    changes->Add(SendMessage{
        link, FollowJob{e.job.id, board.settings.address, e.client_timeout}});
  }
  return links;
}

// A peer that has the job counts this entry's question as a waiting caller.
void Withdraw(LinkId link, std::uint64_t job, EntryChanges* changes) {
  changes->Add(SendMessage{link, CancelJob{0, job, false}});
}

Decision HeldDecision(const PendingSubmission& held) {
  return {Severity::kFailure,
          "job_held",
          held.submission.job.id,
          {{"request", held.submission.request_id}},
          {{"peers", static_cast<std::int64_t>(held.unanswered.size())},
           {"may_have_run", held.answers.may_have_run ? 1 : 0}}};
}

Decision AnsweredDecision(const PendingSubmission& held, std::string event,
                          const std::string& reason, const Now& now) {
  return {Severity::kFailure,
          std::move(event),
          held.submission.job.id,
          {{"reason", reason}, {"request", held.submission.request_id}},
          {{"held_ms", ToMilliseconds(now.boot - held.received_at)}}};
}

std::optional<std::pair<ReplyKind, JobEnd>> OutcomeOf(
    ForwardedOutcome outcome) {
  switch (outcome) {
    case ForwardedOutcome::kCompleted:
      return std::pair(ReplyKind::kCompleted, JobEnd::kCompleted);
    case ForwardedOutcome::kFailed:
      return std::pair(ReplyKind::kFailed, JobEnd::kFailed);
    case ForwardedOutcome::kCancelled:
      return std::pair(ReplyKind::kCancelled, JobEnd::kCancelled);
    default:
      return std::nullopt;
  }
}

// Removes all held submissions of a job, and withdraws its questions to the
// peers but the one that has answered.
EntryChanges ReleaseSubmissionsOf(const EntryBoard& board, std::uint64_t job,
                                  LinkId answered) {
  EntryChanges changes;
  std::set<LinkId> asked;
  const auto [begin, end] = SubmissionsOf(board, job);
  for (auto it = begin; it != end; ++it) {
    changes.Add(Erase<PendingSubmission>{it->first});
    asked.insert(it->second.unanswered.begin(), it->second.unanswered.end());
  }
  asked.erase(answered);
  for (const LinkId link : asked) Withdraw(link, job, &changes);
  return changes;
}

// Answers the clients with the outcome that a peer knows.
EntryChanges EndWithOutcome(const EntryBoard& board, std::uint64_t job,
                            LinkId peer, std::pair<ReplyKind, JobEnd> outcome,
                            const Now& now) {
  EntryChanges changes = ReleaseSubmissionsOf(board, job, peer);
  const auto [begin, end] = SubmissionsOf(board, job);
  for (auto it = begin; it != end; ++it) {
    changes.Add(Reply{it->first.call, outcome.first});
    changes.Add(AnsweredDecision(it->second, "job_repeated",
                                 "the job has ended at another entry", now));
  }
  changes.Add(Put<PastJob>{{job, outcome.second, now.boot}});
  return changes;
}

// Records that a peer does not have the job. `runs_end_in` is set if it has
// given the job up.
EntryChanges RecordAnswer(const PendingSubmission& held, LinkId peer,
                          std::optional<milliseconds> runs_end_in,
                          const Now& now) {
  EntryChanges changes;
  PendingSubmission row = held;
  std::erase(row.unanswered, peer);
  if (runs_end_in) row.answers.may_have_run = true;
  if (runs_end_in && runs_end_in->count() > 0) {
    row.answers.runs_end_by =
        std::max<BootTime>(row.answers.runs_end_by, now.boot + *runs_end_in);
  }
  changes.Add(Put<PendingSubmission>{std::move(row)});
  return changes;
}

// The peer has the job: its clients here wait for the end there.
EntryChanges FollowOwner(const EntryBoard& board, LinkId owner,
                         std::uint64_t job, const Now& now) {
  EntryChanges changes = ReleaseSubmissionsOf(board, job, owner);
  std::vector<JobSubmitted> submissions;
  const auto [begin, end] = SubmissionsOf(board, job);
  for (auto it = begin; it != end; ++it) {
    changes.Add(AnsweredDecision(it->second, "job_followed",
                                 "another entry has the job", now));
    submissions.push_back(ResubmitNow(it->second, now));
  }
  changes.Append(AcceptFollowedJob(board, submissions, owner, now));
  return changes;
}

// The peer runs a job for both entries that this one has at work, too.
EntryChanges YieldJob(const EntryBoard& board, const JobRow& job, LinkId owner,
                      const Now& now) {
  EntryChanges changes = StopPlacedRuns(board, job);
  if (job.forwarded_to) Withdraw(*job.forwarded_to, job.id, &changes);
  JobRow row = job;
  row.forwarded_to = owner;
  row.asked_to_take_over.reset();
  row.may_have_started = true;
  changes.Add(Put<JobRow>{std::move(row)});
  changes.Add(
      Decision{Severity::kFailure,
               "job_yielded",
               job.id,
               {{"queue", job.queue}, {"request", job.request_id}},
               {{"age_ms", ToMilliseconds(now.boot - job.arrived_at)}}});
  return changes;
}

EntryChanges HandleAtWork(const EntryBoard& board, LinkId link,
                          std::uint64_t job, const Now& now) {
  if (IsActiveJob(board, job)) {
    const JobRow& row = *board.jobs.Find(job);
    if (row.forwarded_to == link) return {};
    if (row.asked_to_take_over == link) return YieldJob(board, row, link, now);
  } else if (HasSubmissions(board, job)) {
    return FollowOwner(board, link, job, now);
  }
  EntryChanges changes;
  Withdraw(link, job, &changes);
  return changes;
}

}  // namespace

bool HasSubmissions(const EntryBoard& board, std::uint64_t job) {
  const auto [begin, end] = SubmissionsOf(board, job);
  return begin != end;
}

bool IsAsked(const PendingSubmission& held, LinkId link) {
  const auto& asked = held.unanswered;
  return std::find(asked.begin(), asked.end(), link) != asked.end();
}

bool IsKnownToPeers(const EntryBoard& board, std::uint64_t job) {
  return FindAnnouncements(board, job).has_job;
}

std::optional<EntryChanges> HoldForPeers(const EntryBoard& board,
                                         const JobSubmitted& e,
                                         const Now& now) {
  PendingSubmission held;
  held.submission = e;
  held.received_at = now.boot;
  EntryChanges changes;
  const auto [begin, end] = SubmissionsOf(board, e.job.id);
  if (!HasHeardPeers(board, now)) {
    held.awaits_announcements = true;
  } else if (begin != end && !begin->second.awaits_announcements) {
    held.unanswered = begin->second.unanswered;
    held.answers = begin->second.answers;
  } else {
    const Announcements known = FindAnnouncements(board, e.job.id);
    if (!known.has_job) return std::nullopt;
    held.answers.may_have_run = known.runs_end_by.has_value();
    held.answers.runs_end_by = known.runs_end_by.value_or(BootTime{0});
    held.unanswered = AskPeers(board, e, &changes);
    changes.Add(HeldDecision(held));
  }
  changes.Add(Put<PendingSubmission>{std::move(held)});
  return changes;
}

EntryChanges HandlePeerAnswer(const EntryBoard& board, LinkId link,
                              const ForwardedJobEnded& message,
                              const Now& now) {
  if (message.outcome == ForwardedOutcome::kAtWork) {
    return HandleAtWork(board, link, message.job, now);
  }
  EntryChanges changes;
  const JobRow* row = board.jobs.Find(message.job);
  if (row != nullptr && row->asked_to_take_over == link) {
    JobRow kept = *row;
    kept.asked_to_take_over.reset();
    changes.Add(Put<JobRow>{std::move(kept)});
  }
  if (!IsAsked(board, message.job, link)) return changes;
  if (const auto outcome = OutcomeOf(message.outcome)) {
    changes.Append(EndWithOutcome(board, message.job, link, *outcome, now));
    return changes;
  }
  const bool is_given_up = message.outcome == ForwardedOutcome::kGivenUp;
  const auto runs_end_in =
      is_given_up ? std::optional(message.retry_after) : std::nullopt;
  const auto [begin, end] = SubmissionsOf(board, message.job);
  for (auto it = begin; it != end; ++it) {
    changes.Append(RecordAnswer(it->second, link, runs_end_in, now));
  }
  return changes;
}

EntryChanges EndQuestionsToPeer(const EntryBoard& board, LinkId link,
                                const Now& now) {
  EntryChanges changes;
  const PeerJobs* peer = board.peer_jobs.Find(link);
  for (const auto& [id, held] : board.pending_submissions) {
    if (!IsAsked(held, link)) continue;
    const bool may_have_runs =
        peer != nullptr && Contains(peer->jobs, DigestOf(id.job));
    const auto runs_end_in =
        may_have_runs ? std::optional(board.settings.max_forwarded_run_time)
                      : std::nullopt;
    changes.Append(RecordAnswer(held, link, runs_end_in, now));
  }
  return changes;
}

std::vector<PendingSubmission> FindAnsweredSubmissions(const EntryBoard& board,
                                                       const Now& now) {
  std::vector<PendingSubmission> found;
  if (board.pending_submissions.empty()) return found;
  const bool has_heard_peers = HasHeardPeers(board, now);
  for (const auto& [id, held] : board.pending_submissions) {
    const bool is_answered = held.unanswered.empty() &&
                             (has_heard_peers || !held.awaits_announcements);
    if (is_answered || IsActiveJob(board, id.job)) found.push_back(held);
  }
  return found;
}

EntryChanges ReleaseSubmission(const EntryBoard& board,
                               const PendingSubmission& held) {
  EntryChanges changes;
  changes.Add(Erase<PendingSubmission>{held.Key()});
  const auto [begin, end] = SubmissionsOf(board, held.submission.job.id);
  const bool is_last = begin != end && std::next(begin) == end;
  if (!is_last) return changes;
  for (const LinkId link : held.unanswered) {
    Withdraw(link, held.submission.job.id, &changes);
  }
  return changes;
}

JobSubmitted ResubmitNow(const PendingSubmission& held, const Now& now) {
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now.boot - held.received_at);
  JobSubmitted submission = held.submission;
  submission.age += waited;
  submission.client_timeout =
      std::max(submission.client_timeout - waited, milliseconds{0});
  return submission;
}

EntryChanges DropSubmission(const EntryBoard& board, CallId call) {
  const auto found = board.job_by_call.find(call);
  if (found == board.job_by_call.end()) return {};
  const PendingSubmission* held =
      board.pending_submissions.Find({found->second, call});
  return held == nullptr ? EntryChanges{} : ReleaseSubmission(board, *held);
}

std::vector<PendingSubmission> FindOverdueSubmissions(const EntryBoard& board,
                                                      bool process_ends,
                                                      const Now& now) {
  std::vector<PendingSubmission> found;
  for (const auto& [id, held] : board.pending_submissions) {
    const bool is_overdue =
        now.boot >= held.received_at + held.submission.client_timeout;
    if (process_ends || is_overdue) found.push_back(held);
  }
  return found;
}

EntryChanges GiveUpSubmission(const EntryBoard& board,
                              const PendingSubmission& held, const Now& now) {
  EntryChanges changes = ReleaseSubmission(board, held);
  changes.Add(Reply{held.submission.call, ReplyKind::kGivenUp});
  changes.Add(AnsweredDecision(held, "job_given_up",
                               "not all entries have answered", now));
  return changes;
}

}  // namespace dottereltrack::pool
