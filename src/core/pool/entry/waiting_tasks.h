#pragma once

#include <vector>

#include "core/pool/entry/board.h"
#include "core/pool/entry/waiting_order.h"

namespace dottereltrack::pool {

// Waiting tasks of an active job that differ only in their index. The job's row
// is that of the board.
struct WaitingTasks {
  // The task with the lowest index.
  TaskRow first;
  std::uint32_t count = 1;
  // The tasks have no rows.
  bool is_unstarted = false;
  const JobRow* job = nullptr;
  StartUrgency urgency;
  friend bool operator==(const WaitingTasks&, const WaitingTasks&) = default;
};

// Returns the waiting tasks of the active jobs in the order in which they are
// placed.
std::vector<WaitingTasks> CollectWaitingTasks(const EntryBoard& board,
                                              const Now& now);

}  // namespace dottereltrack::pool
