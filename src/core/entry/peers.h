#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Dials members without a connection and, while there is no connection to any
// peer, the seed addresses.
EntryChanges DialPeers(const EntryBoard& board, const Now& now);

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& event,
                              const Now& now);

EntryChanges HandlePeerDialFailed(const EntryBoard& board,
                                  const PeerDialFailed& event, const Now& now);

EntryChanges HandlePeerHello(const EntryBoard& board, LinkId link,
                             const PeerHello& hello, const Now& now);

// Sends heartbeats to peers that have had no other message for long.
EntryChanges SendPeerHeartbeats(const EntryBoard& board, const Now& now);

// The peer on that link, or null.
const PeerRow* FindPeerByLink(const EntryBoard& board, LinkId link);

}  // namespace dottereltrack
