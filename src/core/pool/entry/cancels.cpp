#include "core/pool/entry/cancels.h"

#include <algorithm>
#include <utility>

#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/past_jobs.h"

namespace dottereltrack::pool {
namespace {

// An entry is frozen or cut off for seconds. With 140 cancels a second in the
// pool, a new link gets 60 KB.
constexpr milliseconds kRecentCancel{10'000};

// Whether the pool is so large that some entries have no link to each other.
bool IsSubsetOfPool(const EntryBoard& board) {
  return board.peers.size() > board.settings.max_entry_links;
}

// Whether an entry without a link may own jobs: the store lists it, and it is
// not left out by choice. It may be cut off from this entry only.
bool MayServeUnlinked(const EntryBoard& board, const KnownEntry& peer) {
  return peer.registered && !IsSubsetOfPool(board);
}

// Sends the cancel to all linked entries and returns their links.
std::vector<LinkId> TellPeers(const EntryBoard& board, const CancelJob& cancel,
                              EntryChanges* changes) {
  std::vector<LinkId> links;
  for (const auto& [address, peer] : board.peers) {
    if (!peer.link) continue;
    links.push_back(*peer.link);
    changes->Add(SendMessage{*peer.link, cancel});
  }
  return links;
}

void EndPendingCancel(const PendingCancel& cancel, ReplyKind reply,
                      EntryChanges* changes) {
  const bool is_undecided = reply == ReplyKind::kCancelUndecided;
  changes->Add(
      Reply{cancel.call, reply, is_undecided ? kRetryAfter : milliseconds{0}});
  changes->Add(Erase<PendingCancel>{cancel.request});
  changes->Add(Decision{
      is_undecided ? Severity::kFailure : Severity::kRoutine,
      is_undecided ? "cancel_undecided" : "cancel_answered",
      cancel.job,
      {},
      {{"known", reply == ReplyKind::kCancelled ? 1 : 0},
       {"unanswered", static_cast<std::int64_t>(cancel.unanswered.size())}}});
}

// Records the rest of the answers, or replies if none is missing.
void UpdatePendingCancel(PendingCancel cancel, EntryChanges* changes) {
  if (cancel.unanswered.empty()) {
    return EndPendingCancel(cancel,
                            cancel.is_incomplete ? ReplyKind::kCancelUndecided
                                                 : ReplyKind::kUnknownJob,
                            changes);
  }
  changes->Add(Put<PendingCancel>{std::move(cancel)});
}

EntryChanges AskPeers(const EntryBoard& board, const JobCancelRequested& e,
                      const Now& now) {
  EntryChanges changes;
  RecordCancelled(board, e.job, now, &changes);
  PendingCancel cancel;
  cancel.request = e.call.value;
  cancel.job = e.job;
  cancel.call = e.call;
  cancel.ends_at = now.boot + board.settings.cancel_timeout;
  cancel.is_incomplete =
      std::any_of(board.peers.begin(), board.peers.end(), [&](const auto& it) {
        return !it.second.link && MayServeUnlinked(board, it.second);
      });
  cancel.unanswered =
      TellPeers(board, CancelJob{cancel.request, e.job, true}, &changes);
  UpdatePendingCancel(std::move(cancel), &changes);
  return changes;
}

}  // namespace

EntryChanges HandleCancel(const EntryBoard& board, const JobCancelRequested& e,
                          const Now& now) {
  const JobRow* job = board.jobs.Find(e.job);
  EntryChanges changes;
  if (job != nullptr && job->state == JobState::kActive) {
    changes = AbandonJob(board, *job, ReplyKind::kCancelled, "cancelled", now);
    changes.Add(Reply{e.call, ReplyKind::kCancelled});
    // A copy of the submission may arrive there.
    TellPeers(board, CancelJob{e.call.value, e.job, true}, &changes);
    return changes;
  }
  const PastJob* past = board.past_jobs.Find(e.job);
  const bool has_outcome =
      past != nullptr &&
      (past->end == JobEnd::kCompleted || past->end == JobEnd::kFailed);
  if (has_outcome) {
    changes.Add(Reply{e.call, ReplyKind::kUnknownJob});
    return changes;
  }
  return AskPeers(board, e, now);
}

EntryChanges HandleCancelJob(const EntryBoard& board, LinkId link,
                             const CancelJob& message, const Now& now) {
  EntryChanges changes;
  const JobRow* job = board.jobs.Find(message.job);
  const bool is_active = job != nullptr && job->state == JobState::kActive;
  if (is_active) {
    changes = AbandonJob(
        board, *job,
        message.is_final ? ReplyKind::kCancelled : ReplyKind::kGivenUp,
        "cancelled at another entry", now);
  } else if (message.is_final) {
    // Told to further entries once, since they need not know the sender.
    if (IsSubsetOfPool(board) && !board.past_jobs.Contains(message.job)) {
      TellPeers(board, message, &changes);
    }
    RecordCancelled(board, message.job, now, &changes);
  }
  changes.Add(
      SendMessage{link, JobCancelled{message.request, message.job, is_active}});
  return changes;
}

EntryChanges HandleJobCancelled(const EntryBoard& board, LinkId link,
                                const JobCancelled& message) {
  EntryChanges changes;
  const PendingCancel* pending = board.pending_cancels.Find(message.request);
  if (pending == nullptr || pending->job != message.job) return changes;
  if (message.was_known) {
    EndPendingCancel(*pending, ReplyKind::kCancelled, &changes);
    return changes;
  }
  PendingCancel cancel = *pending;
  std::erase(cancel.unanswered, link);
  UpdatePendingCancel(std::move(cancel), &changes);
  return changes;
}

EntryChanges EndCancelsOfLink(const EntryBoard& board, LinkId link) {
  EntryChanges changes;
  for (const auto& [request, pending] : board.pending_cancels) {
    PendingCancel cancel = pending;
    if (std::erase(cancel.unanswered, link) == 0) continue;
    cancel.is_incomplete = true;
    UpdatePendingCancel(std::move(cancel), &changes);
  }
  return changes;
}

EntryChanges TellRecentCancels(const EntryBoard& board, LinkId link,
                               const Now& now) {
  EntryChanges changes;
  const auto& by_age = board.past_jobs_by_age;
  for (auto it = by_age.rbegin(); it != by_age.rend(); ++it) {
    const auto& [ended_at, id] = *it;
    if (now.boot - ended_at > kRecentCancel) break;
    if (board.past_jobs.Find(id)->end != JobEnd::kCancelled) continue;
    changes.Add(SendMessage{link, CancelJob{0, id, true}});
  }
  return changes;
}

EntryChanges EndOverdueCancels(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [request, pending] : board.pending_cancels) {
    if (now.boot < pending.ends_at) continue;
    EndPendingCancel(pending, ReplyKind::kCancelUndecided, &changes);
  }
  return changes;
}

}  // namespace dottereltrack::pool
