#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"
#include "core/pool/entry/first_starts.h"

namespace dottereltrack::pool {

// Handles the events in order, then places tasks. Returns the effects to
// execute, in order.
std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now,
                                 const CallerCheck& is_connected = {});

// Whether the entry is ready for new clients: a configuration is known, some
// minion accepts runs, and the process is not stopping.
bool IsReady(const EntryBoard& board);

// Number of accepted jobs of a queue without a started task.
std::size_t CountPending(const EntryBoard& board, const std::string& queue);

}  // namespace dottereltrack::pool
