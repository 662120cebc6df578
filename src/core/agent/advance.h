#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Processes a batch of events in order and updates the board. Returns the
// effects that the I/O code must carry out, in this order. `seeds` are the
// entry addresses from the settings.
std::vector<AgentEffect> Advance(AgentBoard* board,
                                 const std::vector<Endpoint>& seeds,
                                 const std::vector<AgentEvent>& events,
                                 const Now& now);

}  // namespace dottereltrack
