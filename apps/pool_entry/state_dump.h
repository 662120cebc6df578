#pragma once

#include <string>

#include "core/pool/entry/board.h"

namespace dottereltrack::pool {

// The tables of an entry's board as JSON, for finding faults: each with its
// size and at most 1,000 rows, times as ages in milliseconds. Payloads are left
// out.
std::string DumpState(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
