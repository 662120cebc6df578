#pragma once

#include <vector>

#include "core/agent/changes.h"

namespace dottereltrack {

// Joins the result messages of one batch that go to the same link, so that
// tasks that end together cost one message.
std::vector<AgentEffect> CoalesceResults(std::vector<AgentEffect> effects);

}  // namespace dottereltrack
