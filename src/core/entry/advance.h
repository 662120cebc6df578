#pragma once

#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// Handles a batch of events in order. Then, once for the whole batch, ends jobs
// whose tasks all have an outcome and places queued tasks in free slots.
// Returns the effects for the I/O code, in the order in which they must be
// carried out.
std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now);

}  // namespace dottereltrack
