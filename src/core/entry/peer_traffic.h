#pragma once

#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// Records when this entry last sent a message to each peer. Any message counts
// as a heartbeat, so SendPeerHeartbeats can skip peers with recent traffic.
EntryChanges RecordPeerSendTimes(const EntryBoard& board,
                                 const std::vector<EntryEffect>& effects,
                                 const Now& now);

}  // namespace dottereltrack
