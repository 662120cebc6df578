#pragma once

#include <vector>

#include "core/entry/placement.h"

namespace dottereltrack {

// Sends the starts of the chosen placements, in one message per agent.
EntryChanges SendStarts(const EntryBoard& board,
                        const std::vector<Placement>& placements,
                        const Now& now);

}  // namespace dottereltrack
