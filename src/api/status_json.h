#pragma once

#include "api/reply.h"
#include "core/entry/board.h"

namespace dottereltrack {

// What an operator needs at a glance: role, members, agents with their minions,
// queue, and whether the store answers.
ApiReply RenderStatus(const EntryBoard& board, const Now& now);

// The reply for the load balancer: 503 while the entry stops.
ApiReply RenderHealth(const EntryBoard& board);

const char* ToString(Role role);
const char* ToString(AgentPhase phase);

}  // namespace dottereltrack
