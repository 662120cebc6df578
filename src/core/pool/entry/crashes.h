#pragma once

#include <cstdint>
#include <vector>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Returns how many minions have crashed with a run of the task, as far as this
// entry knows.
int CountCrashes(const EntryBoard& board, const TaskKey& task);

// Whether a task of the job has been on too many minions that crashed, so that
// none of its tasks is started again.
bool IsCrashingJob(const EntryBoard& board, std::uint64_t job);

// Records crashes and passes those that are new on to the other entries. They
// may get the job when its client submits it again.
EntryChanges HandleCrashReports(const EntryBoard& board,
                                const std::vector<CrashReport>& reports,
                                const Now& now);

// Fails the jobs with a waiting task that has been on too many minions that
// crashed.
EntryChanges FailCrashingJobs(const EntryBoard& board, const Now& now);

EntryChanges ForgetOldCrashes(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
