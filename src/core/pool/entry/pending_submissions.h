#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// The held submissions of a job as a range [begin, end) of the table. They
// share the questions to the peers.
inline auto SubmissionsOf(const EntryBoard& board, std::uint64_t job) {
  constexpr CallId last_call{std::numeric_limits<std::uint64_t>::max()};
  return std::pair(board.pending_submissions.LowerBound({job, CallId{0}}),
                   board.pending_submissions.UpperBound({job, last_call}));
}
bool HasSubmissions(const EntryBoard& board, std::uint64_t job);

// Whether the peer at this link has been asked and has not answered.
bool IsAsked(const PendingSubmission& held, LinkId link);

// Whether a peer has announced the job, or one with the same digest.
bool IsKnownToPeers(const EntryBoard& board, std::uint64_t job);

// Holds a submission of a job that a peer has announced, and asks all linked
// peers about it: one of them may have the job at work or know its outcome, and
// at most one entry may run it. Also holds any submission until the peers have
// announced their jobs. Returns nullopt if the job may be accepted at once.
std::optional<EntryChanges> HoldForPeers(const EntryBoard& board,
                                         const JobSubmitted& e, const Now& now);

// Handles a peer's answer about a job of held submissions. Nothing is changed
// if the peer was not asked.
EntryChanges HandlePeerAnswer(const EntryBoard& board, LinkId link,
                              const ForwardedJobEnded& message, const Now& now);

// The answers of a lost peer count as unknown; runs of it may go on for a
// while.
EntryChanges EndQuestionsToPeer(const EntryBoard& board, LinkId link,
                                const Now& now);

// Submissions that need not be held any longer.
std::vector<PendingSubmission> FindAnsweredSubmissions(const EntryBoard& board,
                                                       const Now& now);
// Removes a held submission. Withdraws its questions to peers if no other
// submission of the job is held.
EntryChanges ReleaseSubmission(const EntryBoard& board,
                               const PendingSubmission& held);
// The submission as one that is received now.
JobSubmitted ResubmitNow(const PendingSubmission& held, const Now& now);

// Removes the held submission of a call whose client has left.
EntryChanges DropSubmission(const EntryBoard& board, CallId call);
// Held submissions whose clients stop waiting, or all if this process ends.
std::vector<PendingSubmission> FindOverdueSubmissions(const EntryBoard& board,
                                                      bool process_ends,
                                                      const Now& now);
// Answers a held submission without an outcome.
EntryChanges GiveUpSubmission(const EntryBoard& board,
                              const PendingSubmission& held, const Now& now);

}  // namespace dottereltrack::pool
