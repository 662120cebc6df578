#pragma once

#include <string>

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

// Dumps an agent's board as JSON for debugging. Each table has its size and at
// most 1,000 rows; times are ages in milliseconds.
std::string DumpState(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
