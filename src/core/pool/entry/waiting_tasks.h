#pragma once

#include <vector>

#include "core/pool/entry/board.h"
#include "core/pool/entry/waiting_order.h"

namespace dottereltrack::pool {

// A waiting task of an active job. The rows are those of the board.
struct WaitingTask {
  const TaskRow* task = nullptr;
  const JobRow* job = nullptr;
  StartUrgency urgency;
  friend bool operator==(const WaitingTask&, const WaitingTask&) = default;
};

// Returns the waiting tasks of the active jobs in the order in which they are
// placed.
std::vector<WaitingTask> CollectWaitingTasks(const EntryBoard& board,
                                             const Now& now);

}  // namespace dottereltrack::pool
