#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Dials the entries of the cell table and, while no entry is connected, also
// the seed addresses.
AgentChanges DialEntries(const AgentBoard& board,
                         const std::vector<Endpoint>& seeds, const Now& now);

AgentChanges HandleEntryDialed(const AgentBoard& board,
                               const EntryDialed& event);
AgentChanges HandleEntryDialFailed(const AgentBoard& board,
                                   const EntryDialFailed& event,
                                   const Now& now);
AgentChanges HandleEntryHello(const AgentBoard& board, LinkId link,
                              const EntryHello& hello);
AgentChanges HandleEntryLinkClosed(const AgentBoard& board, LinkId link,
                                   const Now& now);
AgentChanges AdoptAgentTable(const AgentBoard& board, const StoredTable& table);
AgentChanges AdoptAgentConfig(const AgentBoard& board,
                              const StoredConfig& config);

}  // namespace dottereltrack
