#pragma once

#include "api/reply.h"
#include "core/entry/board.h"

namespace dottereltrack {

// Renders the status overview for operators: role, members, agents with their
// minions, queue, and state of the store.
ApiReply RenderStatus(const EntryBoard& board, const Now& now);

// Renders the health check reply for load balancers: status 503 while the entry
// shuts down, otherwise 200.
ApiReply RenderHealth(const EntryBoard& board);

const char* ToString(Role role);
const char* ToString(AgentPhase phase);

}  // namespace dottereltrack
