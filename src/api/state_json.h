#pragma once

#include <cstddef>

#include "api/reply.h"
#include "core/entry/board.h"

namespace dottereltrack {

// Renders the entry's board as JSON for debugging. Each table reports its total
// size and its first `max_rows` rows in key order. Payloads, results and
// idempotency keys are omitted.
ApiReply RenderState(const EntryBoard& board, std::size_t max_rows);

}  // namespace dottereltrack
