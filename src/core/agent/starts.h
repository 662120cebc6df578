#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Why the agent must not start the task now; empty if it may. The checks prove
// that a refused task did not start here.
std::optional<StartRefusal> CheckStart(const AgentBoard& board, LinkId link,
                                       const Fence& fence,
                                       const TaskStart& start);

// Records the task in the ledger and starts it, or refuses it. A task that the
// ledger already has is not started again; its record is sent instead.
AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const Fence& fence, const TaskStart& start,
                         const Now& now);

// Abandons a running task of this fence.
AgentChanges HandleCancel(const AgentBoard& board, const Fence& fence,
                          const TaskId& task);

}  // namespace dottereltrack
