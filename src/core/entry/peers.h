#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Dials members that have no connection and, as long as no peer is connected,
// the seed addresses.
EntryChanges DialPeers(const EntryBoard& board, const Now& now);

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& event,
                              const Now& now);

EntryChanges HandlePeerDialFailed(const EntryBoard& board,
                                  const PeerDialFailed& event, const Now& now);

EntryChanges HandlePeerHello(const EntryBoard& board, LinkId link,
                             const PeerHello& hello, const Now& now);

// Sends a heartbeat to each peer that has been sent nothing for
// `peer_heartbeat`.
EntryChanges SendPeerHeartbeats(const EntryBoard& board, const Now& now);

// Returns the peer connected by the link, or null.
const PeerRow* FindPeerByLink(const EntryBoard& board, LinkId link);

}  // namespace dottereltrack
