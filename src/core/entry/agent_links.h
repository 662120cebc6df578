#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& hello);

EntryChanges HandleMinionUpdate(const EntryBoard& board, const AgentRow& agent,
                                const MinionUpdate& update);

EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now);

// Closes the link of each agent that has left a message unacknowledged for
// longer than `agent_timeout`, and marks the agent as lost.
EntryChanges DetectSilentAgents(const EntryBoard& board, const Now& now);

// Erases agents that are not in the roster and have been lost for longer than
// `agent_timeout`. Resets connected agents that were removed from the roster,
// so that they can be enrolled again.
EntryChanges CleanUpRemovedAgents(const EntryBoard& board, const Now& now);

// Ends the tasks of agents that are no longer known, or have been lost for
// longer than `agent_timeout`, with an unknown outcome.
EntryChanges EndTasksOfLostAgents(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
