#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Ends the tasks of jobs whose deadline has passed: queued tasks as not_run,
// sent tasks as unknown.
EntryChanges EndTasksPastDeadline(const EntryBoard& board, const Now& now);

// Ends jobs with a queued task that no connected minion could ever run. Waits
// for `no_minion_grace` first, so that operators have time to correct labels.
EntryChanges EndUnplaceableJobs(const EntryBoard& board, const Now& now);

// Erases records that are older than the retention period.
EntryChanges DropExpiredRecords(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
