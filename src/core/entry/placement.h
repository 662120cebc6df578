#pragma once

#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// The agent chosen for a queued task.
struct Placement {
  TaskId task;
  AgentId agent;
  BootTime expected_end{0};
  friend auto operator<=>(const Placement&, const Placement&) = default;
};

// Whether the minion's labels, with the operators' overrides applied, satisfy
// the selector.
bool Matches(const Selector& selector, const CellConfig& config,
             const MinionDescription& minion);

// Whether the minion could run the task if it were otherwise idle.
bool CanEverFit(const MinionDescription& minion, const Needs& needs);

// Whether the minion accepts no new work because it announced that it is
// draining or an operator drained it.
bool IsDraining(const CellConfig& config, const MinionDescription& minion);

// Assigns queued tasks to free slots. Returns nothing if the dispatcher has no
// authority.
std::vector<Placement> ChoosePlacements(const EntryBoard& board,
                                        const Now& now);

}  // namespace dottereltrack
