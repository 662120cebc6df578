#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Whether the minion receives no new tasks: because it or an operator requested
// draining, the agent is stopping, or no minion has announced itself.
bool IsDraining(const AgentBoard& board);

// Stores the minion's description. If the instance has changed, ends the tasks
// of the old one with an unknown result.
AgentChanges HandleMinionAnnounced(const AgentBoard& board,
                                   const MinionAnnounced& event,
                                   const Now& now);
AgentChanges HandleMinionLeaving(const AgentBoard& board);
AgentChanges HandleAgentStop(const AgentBoard& board, const Now& now);

// Once the agent is stopping and idle, asks the entries to remove it from the
// roster. Exits when it is no longer in the roster, or after the leave timeout.
AgentChanges LeaveWhenIdle(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack
