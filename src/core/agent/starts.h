#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Returns why the agent must not start the task now; std::nullopt if it may. A
// refusal proves that this start did not reach the minion.
std::optional<StartRefusal> CheckStart(const AgentBoard& board, LinkId link,
                                       const Fence& fence,
                                       const TaskStart& start);

// Records the task in the ledger and starts it, or refuses it. A task that is
// already in the ledger is not started again; its result is sent if it has
// ended.
AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const Fence& fence, const TaskStart& start,
                         const Now& now);

// Aborts the task on the minion if it is running and the fence is the newest.
AgentChanges HandleCancel(const AgentBoard& board, const Fence& fence,
                          const TaskId& task);

}  // namespace dottereltrack
