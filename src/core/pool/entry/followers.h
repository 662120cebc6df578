#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Answers a peer that has a submission of the job: with the outcome if it is
// known, and with kAtWork if this entry has the job, whose end it tells later.
// Of two entries that ask each other, the one with the lower address runs the
// job.
EntryChanges HandleFollowJob(const EntryBoard& board, LinkId link,
                             const FollowJob& message, const Now& now);

}  // namespace dottereltrack::pool
