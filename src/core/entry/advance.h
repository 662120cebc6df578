#pragma once

#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// Handles a batch of events in order, then ends decided jobs and binds queued
// tasks to free slots once for the whole batch. Returns the work for the input
// and output code, in the order in which it must be done.
std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now);

}  // namespace dottereltrack
