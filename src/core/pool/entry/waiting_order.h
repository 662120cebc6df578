#pragma once

#include "core/pool/task.h"
#include "core/time.h"

namespace dottereltrack::pool {

// What decides when a waiting task is placed.
struct StartUrgency {
  // A minion has crashed with a run of the task. Most suspect tasks are not the
  // cause, but those that are cost the runs beside them, so they are placed
  // after all others.
  bool is_suspect = false;
  // Cannot meet its goal any more.
  bool is_late = false;
  // A task of the job has been started before.
  bool job_has_started = false;
  // Latest start that meets the goal.
  BootTime latest_start{0};
  // Work of the job's tasks that have not ended, in thousandths of a core times
  // milliseconds.
  double remaining_work = 0;
  TaskKey key{};
  friend bool operator==(const StartUrgency&, const StartUrgency&) = default;
};

// Whether `a` is placed before `b`. Tasks that can meet their goal come first:
// those of jobs that have started, since a job needs all its tasks, then those
// with the earliest latest start. Late tasks follow, those of the job that
// needs the least work first, so that a late job does not hold the room of two
// others.
bool IsPlacedBefore(const StartUrgency& a, const StartUrgency& b);

}  // namespace dottereltrack::pool
