#pragma once

#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// Notes when this entry has sent something to a peer, so that replies stand in
// for heartbeats.
EntryChanges NotePeerTraffic(const EntryBoard& board,
                             const std::vector<EntryEffect>& effects,
                             const Now& now);

}  // namespace dottereltrack
