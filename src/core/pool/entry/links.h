#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Records that a link was opened or has received a message.
EntryChanges RecordLinkActivity(const EntryBoard& board, LinkId link,
                                const Now& now);

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& message, const Now& now);
EntryChanges HandleLoadReport(const EntryBoard& board, LinkId link,
                              const LoadReport& message, const Now& now);

// Marks the runs of the link's agent as lost until they have certainly ended.
EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now);

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& e,
                              const Now& now);
EntryChanges AddPeers(const EntryBoard& board,
                      const std::vector<Endpoint>& entries, EntrySource source,
                      const Now& now);

// Aborts links that have received no message within the link timeout.
EntryChanges AbortSilentLinks(const EntryBoard& board, const Now& now);
// Aborts all links after a pause of the process.
EntryChanges AbortAllLinks(const EntryBoard& board, milliseconds pause,
                           const Now& now);

// Records that a message is sent over a link.
EntryChanges RecordLinkSend(const EntryBoard& board, LinkId link,
                            const Now& now);
// Dials entries without a link.
EntryChanges DialPeers(const EntryBoard& board, const Now& now);
EntryChanges PingIdleLinks(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
