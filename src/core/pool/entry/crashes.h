#pragma once

#include <cstdint>
#include <vector>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Returns how many minions have crashed with a run of the task, as far as this
// entry knows.
CrashCount CountCrashes(const EntryBoard& board, const TaskKey& task);

// Whether a run of the task may have crashed a minion.
bool IsSuspect(const EntryBoard& board, const TaskKey& task);

// Whether so many minions have certainly crashed under a task of the job that
// the job has failed.
bool IsCrashingJob(const EntryBoard& board, std::uint64_t job);

// Records crashes and passes those that are new on to the other entries. They
// may get the job when its client submits it again.
EntryChanges HandleCrashReports(const EntryBoard& board,
                                const std::vector<CrashReport>& reports,
                                const Now& now);

// Ends the jobs with a waiting task that has been on too many minions that
// crashed: they fail if the crashes are certain, and are given up without an
// outcome if some are only possible.
EntryChanges EndCrashingJobs(const EntryBoard& board, const Now& now);

EntryChanges ForgetExcessCrashes(const EntryBoard& board);

}  // namespace dottereltrack::pool
