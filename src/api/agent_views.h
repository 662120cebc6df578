#pragma once

#include <cstddef>

#include "api/reply.h"
#include "core/agent/board.h"

namespace dottereltrack {

// The tables of an agent's board, for finding faults. Each table lists at most
// `max_rows` rows in the order of their keys, and its full size. Payloads and
// outputs are left out.
ApiReply RenderState(const AgentBoard& board, std::size_t max_rows);

// Status 503 while the agent stops.
ApiReply RenderHealth(const AgentBoard& board);

// Counters and sizes of the board in the text format of Prometheus.
ApiReply RenderMetrics(const AgentBoard& board);

// The name of a counter in metrics and dumps.
const char* NameOf(AgentCounter counter);

}  // namespace dottereltrack
