#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Whether the minion takes no new work: by its own word, by an operator's, or
// because the agent stops.
bool IsDraining(const AgentBoard& board);

// Takes the minion's description; a new instance ends what ran on the old one.
AgentChanges HandleMinionAnnounces(const AgentBoard& board,
                                   const MinionAnnounces& event,
                                   const Now& now);
AgentChanges HandleMinionLeaves(const AgentBoard& board);
AgentChanges HandleAgentStop(const AgentBoard& board, const Now& now);

// Once draining and idle, asks the dispatcher to take the agent off the roster.
// A stopping agent ends when it is off, or after the leave timeout.
AgentChanges LeaveWhenIdle(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack
