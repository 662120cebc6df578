#include "core/pool/agent/fencing.h"

#include <algorithm>

namespace dottereltrack::pool {

std::uint64_t NextFencingToken(const AgentBoard& board, const Now& now) {
  const auto wall = static_cast<std::uint64_t>(now.wall.count());
  return std::max(board.fencing_token + 1, wall);
}

}  // namespace dottereltrack::pool
