#pragma once

#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// The choice of an agent for a queued task.
struct Placement {
  TaskId task;
  AgentId agent;
  BootTime expected_end{0};
  friend auto operator<=>(const Placement&, const Placement&) = default;
};

// Whether the minion's labels, with the operators' overrides, satisfy the
// selector.
bool Matches(const Selector& selector, const CellConfig& config,
             const MinionDescription& minion);

// Whether the minion could ever run the task, if it ran nothing else.
bool CanEverFit(const MinionDescription& minion, const Needs& needs);

// Whether the minion takes no new work, by its own word or by an operator's.
bool IsDraining(const CellConfig& config, const MinionDescription& minion);

// Binds queued tasks to free slots. Chooses nothing while the dispatcher has no
// authority.
std::vector<Placement> ChoosePlacements(const EntryBoard& board,
                                        const Now& now);

}  // namespace dottereltrack
