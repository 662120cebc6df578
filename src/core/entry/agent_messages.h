#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// The agent row after a message with the next sequence number was sent at
// `now`. The message's number is the row's `next_seq` before the call.
AgentRow AfterSend(const AgentRow& agent, const Now& now);

// The agent row after an acknowledgement. An acknowledgement of another fence
// changes nothing.
AgentRow AfterAck(const AgentRow& agent, const AgentAck& ack);

// The agent on that link, or null.
const AgentRow* FindAgentByLink(const EntryBoard& board, LinkId link);

// Whether the agent is fenced and counts for the majority.
bool IsFencedMember(const EntryBoard& board, const AgentRow& agent);

// Whether the agent is in the roster, and also in the one of a table write that
// is not resolved: a successor may find either of them.
bool StaysInRoster(const EntryBoard& board, AgentId agent);

// Whether the agent may get starts and witness requests. It must not be about
// to leave the roster, since nobody would look for its records there.
bool IsUsable(const EntryBoard& board, const AgentRow& agent);

// Whether the table lists the agent among those that may receive starts.
bool IsInRoster(const CellTable& table, AgentId agent);

// The rack of an agent; an agent that names none counts as a rack of its own.
std::string RackOf(const MinionDescription& minion);

}  // namespace dottereltrack
