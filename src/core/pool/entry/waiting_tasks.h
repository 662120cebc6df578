#pragma once

#include <vector>

#include "core/pool/entry/board.h"
#include "core/pool/entry/waiting_order.h"

namespace dottereltrack::pool {

// Waiting tasks of an active job that differ only in their index. The rows are
// those of the board.
struct WaitingTasks {
  // The row of a single task; null if they are unstarted.
  const TaskRow* task = nullptr;
  const UnstartedTasks* unstarted = nullptr;
  const JobRow* job = nullptr;
  StartUrgency urgency;
  friend bool operator==(const WaitingTasks&, const WaitingTasks&) = default;

  std::uint32_t Count() const { return task ? 1 : unstarted->count; }
  milliseconds Estimate() const {
    return task ? task->estimate : unstarted->estimate;
  }
  const Resources& Needs() const {
    return task ? task->needs : unstarted->needs;
  }
};

// Returns the row of the task with the lowest index.
TaskRow FirstRowOf(const WaitingTasks& tasks);

// Returns the waiting tasks of the active jobs in the order in which they are
// placed.
std::vector<WaitingTasks> CollectWaitingTasks(const EntryBoard& board,
                                              const Now& now);

}  // namespace dottereltrack::pool
