#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Share, from 0 to 1, of the jobs of one size to forward when `share` of all
// are due. Jobs of at least the mean number of tasks go first: each task that
// is forwarded saves a start and a result, and each job costs as many messages.
double ShareOfSize(double share, bool is_large);

// Forwards a share of the jobs none of whose tasks has been started to peers
// that offer capacity, if this entry is overloaded. The peer owns the job from
// then on; this entry keeps the callers.
EntryChanges ForwardJobs(const EntryBoard& board, const Now& now);

// Handles the outcome of a job that this entry has forwarded. If the owner has
// refused the job, this entry runs it, unless it is too late for that.
EntryChanges HandleForwardedJobEnded(const EntryBoard& board, LinkId link,
                                     const ForwardedJobEnded& message,
                                     const Now& now);
// Gives up the jobs that were forwarded over a link that is lost.
EntryChanges GiveUpForwardedJobs(const EntryBoard& board, LinkId link,
                                 const Now& now);

// Withdraws a forwarded job from its owner when the job ends here first. Its
// tasks count as lost until their runs have certainly ended.
EntryChanges WithdrawJob(const EntryBoard& board, const JobRow& job,
                         ReplyKind kind, const Now& now);

}  // namespace dottereltrack::pool
