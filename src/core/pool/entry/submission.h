#pragma once

#include <cstdint>
#include <vector>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Accepts or refuses a job. A job whose id is already known is not run again:
// the new caller waits with the others, or gets the outcome at once. A job that
// a peer has announced is held until the peers have answered.
EntryChanges HandleSubmission(const EntryBoard& board, const JobSubmitted& e,
                              const Now& now, const PeerAnswers& answers = {});

// Accepts submissions of one job that another entry has at work. This entry
// keeps the callers, and runs the job if the other one refuses it.
EntryChanges AcceptFollowedJob(const EntryBoard& board,
                               const std::vector<JobSubmitted>& submissions,
                               LinkId owner, const Now& now);

// Returns the row of an open job with a further caller.
JobRow WithWaiter(const JobRow& known, CallId call, milliseconds client_timeout,
                  const Now& now);

// Adds those tasks of the steps that the board does not have, which may be
// started from a time on, and returns how many tasks have not ended.
std::uint32_t AddMissingTasks(const EntryBoard& board, const JobRow& job,
                              const std::vector<StepSpec>& steps,
                              BootTime blocked_until, EntryChanges* changes);

}  // namespace dottereltrack::pool
