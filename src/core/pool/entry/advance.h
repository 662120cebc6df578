#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Handles the events in order, then places tasks. Returns what is to be done,
// in order.
std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now);

// Whether new clients should be sent here: a configuration is known, some
// minion takes runs, and the process is not stopping.
bool IsReady(const EntryBoard& board);

// Accepted jobs of a queue of which no task has been started.
std::size_t CountPending(const EntryBoard& board, const std::string& queue);

}  // namespace dottereltrack::pool
