#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Handles the events in order. Returns the effects to execute, in order.
std::vector<AgentEffect> Advance(AgentBoard* board,
                                 const std::vector<AgentEvent>& events,
                                 const Now& now);

}  // namespace dottereltrack::pool
