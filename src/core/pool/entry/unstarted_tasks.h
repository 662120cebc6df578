#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "core/pool/entry/changes.h"

namespace dottereltrack::pool {

// The unstarted tasks of a job as a range [begin, end) of the table.
inline auto UnstartedTasksOf(const EntryBoard& board, std::uint64_t job) {
  return std::pair(board.unstarted_tasks.LowerBound(FirstTaskOf(job)),
                   board.unstarted_tasks.UpperBound(LastTaskOf(job)));
}

// Returns `count` unstarted tasks of a step of the job, beginning with the
// `index`-th of the step.
UnstartedTasks MakeUnstartedTasks(const JobRow& job, std::uint32_t step,
                                  std::uint32_t index, std::uint32_t count,
                                  const StepSpec& spec);

// Returns the row of the `n`-th of these tasks, as one that waits.
TaskRow MakeTaskRow(const UnstartedTasks& tasks, std::uint32_t n);

// Adds the changes that remove the first `n` of these tasks, whose rows replace
// them.
void RemoveFirst(const UnstartedTasks& tasks, std::uint32_t n,
                 EntryChanges* changes);

// Adds the changes that let blocked tasks start whose time has come, or remove
// them if their job has ended.
void ReleaseBlockedTasks(const EntryBoard& board, const Now& now,
                         EntryChanges* changes);

// Adds the changes that remove all unstarted tasks of a job.
void EraseUnstartedTasks(const EntryBoard& board, std::uint64_t job,
                         EntryChanges* changes);

// Number of tasks that wait for room, with and without a row.
std::size_t CountWaitingTasks(const EntryBoard& board);
bool HasWaitingTasks(const EntryBoard& board);
std::set<std::uint64_t> JobsWithWaitingTasks(const EntryBoard& board);

// Gives unstarted tasks that may have crashed a minion, as runs of other
// entries, rows of their own, since each is placed by itself.
EntryChanges SeparateSuspects(const EntryBoard& board);

}  // namespace dottereltrack::pool
