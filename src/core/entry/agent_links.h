#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& hello);

EntryChanges HandleMinionUpdate(const EntryBoard& board, const AgentRow& agent,
                                const MinionUpdate& update);

EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now);

// Marks agents lost that have left messages unanswered for too long.
EntryChanges DetectSilentAgents(const EntryBoard& board, const Now& now);

// Forgets agents that are lost and off the roster, and lets connected ones that
// were removed be enrolled again.
EntryChanges ReleaseRemovedAgents(const EntryBoard& board, const Now& now);

// Ends the tasks of agents that have been lost for too long as unknown.
EntryChanges EndTasksOfLostAgents(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
