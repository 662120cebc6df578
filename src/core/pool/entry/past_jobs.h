#pragma once

#include <optional>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Returns the reply to a submission of a job that has ended and must not run
// again: a delayed copy, or the first one if a cancel has overtaken it.
std::optional<ReplyKind> FindReplyToPastJob(const EntryBoard& board,
                                            std::uint64_t job);

// Whether an earlier submission of the job may have begun at this entry, so
// that a refusal as "not run" would be false.
bool MayHaveRunBefore(const EntryBoard& board, std::uint64_t job);

// Records a job that a client has cancelled, unless it had ended before.
void RecordCancelled(const EntryBoard& board, std::uint64_t job, const Now& now,
                     EntryChanges* changes);

// Forgets jobs after the retention period, and the oldest if there are too
// many.
EntryChanges ForgetPastJobs(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
