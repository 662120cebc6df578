#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Handles a batch of events in order. Returns the work for the input and output
// code, in the order in which it must be done. `seeds` are the entry addresses
// of the settings.
std::vector<AgentEffect> Advance(AgentBoard* board,
                                 const std::vector<Endpoint>& seeds,
                                 const std::vector<AgentEvent>& events,
                                 const Now& now);

}  // namespace dottereltrack
