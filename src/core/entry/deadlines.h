#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Ends the tasks of jobs whose deadline has passed: queued ones did not run,
// sent ones are unknown.
EntryChanges ExpireDeadlines(const EntryBoard& board, const Now& now);

// Ends jobs with a queued task that no connected minion could ever run, after
// the grace in which operators may still change labels.
EntryChanges ExpireUnplaceable(const EntryBoard& board, const Now& now);

// Drops records that are older than the retention.
EntryChanges DropExpiredRecords(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
