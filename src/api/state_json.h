#pragma once

#include <cstddef>

#include "api/reply.h"
#include "core/entry/board.h"

namespace dottereltrack {

// The tables of the board, for finding faults. Each table lists at most
// `max_rows` rows in the order of their keys, and its full size. Payloads,
// results and keys are left out.
ApiReply RenderState(const EntryBoard& board, std::size_t max_rows);

}  // namespace dottereltrack
