#pragma once

#include <cstddef>

#include "api/reply.h"
#include "core/agent/board.h"

namespace dottereltrack {

// Renders the agent's board as JSON for debugging. Each table reports its total
// size and its first `max_rows` rows in key order. Payloads and outputs are
// omitted.
ApiReply RenderState(const AgentBoard& board, std::size_t max_rows);

// Renders the health check reply: status 503 while the agent shuts down,
// otherwise 200.
ApiReply RenderHealth(const AgentBoard& board);

// Renders the board's counters and gauges in the Prometheus text format.
ApiReply RenderMetrics(const AgentBoard& board);

// Returns the counter's name in metrics and state dumps.
const char* NameOf(AgentCounter counter);

}  // namespace dottereltrack
