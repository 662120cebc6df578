#pragma once

#include <vector>

#include "core/entry/placement.h"

namespace dottereltrack {

// Sends the starts for the chosen placements. Starts for the same agent share a
// message as far as its limits allow.
EntryChanges SendStarts(const EntryBoard& board,
                        const std::vector<Placement>& placements,
                        const Now& now);

}  // namespace dottereltrack
