#pragma once

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

// A fencing token above the present one. The wall clock lets the process that
// follows this one begin with a higher token.
std::uint64_t HigherToken(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
