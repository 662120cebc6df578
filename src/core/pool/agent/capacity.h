#pragma once

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

// Room on the minion: its capacity less all runs whose end is not known.
Resources FreeRoom(const AgentBoard& board);

// Whether the minion takes new runs.
bool IsAccepting(const AgentBoard& board, const Now& now);

// The minion's clock now, never ahead of its true value by more than the drift
// since the last reading.
std::uint64_t MinionClock(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
