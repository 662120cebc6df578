#pragma once

#include <string>

#include "core/pool/entry/board.h"

namespace dottereltrack::pool {

// Dumps an entry's board as JSON for debugging. Each table has its size and at
// most 1,000 rows; times are ages in milliseconds. Payloads are omitted.
std::string DumpState(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
