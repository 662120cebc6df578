#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// Returns the agent row after sending a message at `now`. The sequence number
// of that message is the row's `next_seq` before the call.
AgentRow AgentRowAfterSend(const AgentRow& agent, const Now& now);

// Returns the agent row after an acknowledgement. Acknowledgements for a
// different fence are ignored.
AgentRow AgentRowAfterAck(const AgentRow& agent, const AgentAck& ack);

// Returns the agent connected by the link, or null.
const AgentRow* FindAgentByLink(const EntryBoard& board, LinkId link);

// Whether the agent is fenced and in the roster, so that it counts towards the
// majority.
bool IsFencedMember(const EntryBoard& board, const AgentRow& agent);

// Whether the agent is in the current roster and also in the roster of the
// pending table write, if there is one. Until that write is resolved, a
// successor may read either table.
bool StaysInRoster(const EntryBoard& board, AgentId agent);

// Whether the agent may receive starts and witness requests. An agent that is
// about to leave the roster may not, because a later dispatcher would not read
// its records.
bool CanTakeWork(const EntryBoard& board, const AgentRow& agent);

// Whether the agent is in the table's roster, the list of agents that may
// receive starts.
bool IsInRoster(const CellTable& table, AgentId agent);

// Returns the rack of a minion. A minion that names no rack counts as a rack of
// its own.
std::string RackOf(const MinionDescription& minion);

}  // namespace dottereltrack
