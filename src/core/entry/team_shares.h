#pragma once

#include <cstdint>
#include <vector>

#include "core/entry/board.h"

namespace dottereltrack {

// Reads the queued tasks of one class in order, jobs by rank and tasks by
// declared time. The board must not change meanwhile.
struct ClassCursor {
  const WorkClass* work = nullptr;
  const ClassQueue* queue = nullptr;
  std::set<JobRank>::const_iterator job;
  std::set<TaskRank>::const_iterator task;
  // No minion has room for this class any more.
  bool blocked = false;
};

// A team with queued tasks and its share of the slots.
struct TeamCursor {
  std::vector<ClassCursor> classes;
  std::uint32_t in_progress = 0;
  // Zero means no limit.
  std::uint32_t limit = 0;
  std::uint32_t weight = 1;
};

// All teams with queued tasks of open jobs.
std::vector<TeamCursor> CursorsOf(const EntryBoard& board);

// The team with the smallest share of slots over its weight that has a task to
// place and is below its quota; null if there is none.
TeamCursor* NextTeam(std::vector<TeamCursor>* teams);

// The class with the earliest job of the team; null if all are empty or
// blocked.
ClassCursor* NextClass(TeamCursor* team);

TaskId TaskAt(const ClassCursor& cursor);

// Goes on to the next task, or to the next job.
void SkipTask(const EntryBoard& board, ClassCursor* cursor);

}  // namespace dottereltrack
