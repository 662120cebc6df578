#pragma once

#include <string>

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

// The tables of an agent's board as JSON, for finding faults: each with its
// size and at most 1,000 rows, times as ages in milliseconds.
std::string DumpState(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
