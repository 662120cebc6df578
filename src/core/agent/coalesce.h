#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Merges consecutive Results messages to the same link under the same fence, so
// that tasks that end in one batch are reported in a single message.
std::vector<AgentEffect> CoalesceResults(std::vector<AgentEffect> effects);

}  // namespace dottereltrack
