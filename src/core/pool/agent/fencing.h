#pragma once

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

// Returns a fencing token above the current one. It is at least the wall-clock
// time, so that the next process starts with a higher token.
std::uint64_t NextFencingToken(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
