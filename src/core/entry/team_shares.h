#pragma once

#include <cstdint>
#include <vector>

#include "core/entry/board.h"

namespace dottereltrack {

// Iterates over the queued tasks of one class: jobs by rank, and the tasks of a
// job by declared time. The board must not change while the cursor is in use.
struct ClassCursor {
  const WorkClass* work_class = nullptr;
  const ClassQueue* queue = nullptr;
  std::set<JobRank>::const_iterator job;
  std::set<TaskRank>::const_iterator task;
  // Set when no minion has capacity left for this class.
  bool blocked = false;
};

// Cursor over the queued tasks of one team, with the team's scheduling limits.
struct TeamCursor {
  std::vector<ClassCursor> classes;
  std::uint32_t in_progress = 0;
  // Maximum number of tasks in progress; zero means no limit.
  std::uint32_t task_limit = 0;
  std::uint32_t weight = 1;
};

// Returns a cursor for each team with queued tasks.
std::vector<TeamCursor> MakeTeamCursors(const EntryBoard& board);

// Returns the team with the lowest ratio of tasks in progress to weight among
// those that have a task to place and are below their quota, or null if there
// is none.
TeamCursor* SelectNextTeam(std::vector<TeamCursor>* teams);

// Returns the class whose next job has the earliest rank, or null if all
// classes are exhausted or blocked.
ClassCursor* SelectNextClass(TeamCursor* team);

TaskId CurrentTask(const ClassCursor& cursor);

// Advances the cursor to the next task of the job, or to the next open job.
void AdvanceCursor(const EntryBoard& board, ClassCursor* cursor);

}  // namespace dottereltrack
