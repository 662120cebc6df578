#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Notes that a link has carried a message.
EntryChanges NoteMessage(const EntryBoard& board, LinkId link, const Now& now);

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& message, const Now& now);
EntryChanges HandleLoadReport(const EntryBoard& board, LinkId link,
                              const LoadReport& message, const Now& now);

// Runs of the link's agent count as lost until they are certainly dead.
EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now);

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& e,
                              const Now& now);
EntryChanges AddPeers(const EntryBoard& board,
                      const std::vector<Endpoint>& entries, EntrySource source,
                      const Now& now);

// Aborts links that were silent for too long, and all links after a pause.
EntryChanges AbortSilentLinks(const EntryBoard& board, const Now& now);
EntryChanges AbortAllLinks(const EntryBoard& board, milliseconds pause);

// Dials entries without a link.
EntryChanges DialPeers(const EntryBoard& board, const Now& now);
// Sends the configuration to entries that lack it, and pings idle links.
EntryChanges OfferConfig(const EntryBoard& board);
EntryChanges PingIdleLinks(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
