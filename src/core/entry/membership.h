#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// The cell table that this entry wants to write now: with itself as a member,
// with agents enrolled or removed, or with a new dispatcher. Empty when the
// table is as it should be.
std::optional<CellTable> DesiredTable(const EntryBoard& board, const Now& now);

// Writes the desired table, unless a write is under way or the store has failed
// a moment ago.
EntryChanges WriteDesiredTable(const EntryBoard& board, const Now& now);

EntryChanges HandleTableWritten(const EntryBoard& board,
                                const TableWritten& event, const Now& now);
EntryChanges HandleTableSeen(const EntryBoard& board, const StoredTable& table,
                             const Now& now);
EntryChanges HandleStoreReadFailed(const EntryBoard& board, const Now& now);

// Reads the table when a write is undecided or nothing is known yet.
EntryChanges ReadTableIfNeeded(const EntryBoard& board, const Now& now);

// Takes a table that is newer than ours and tells peers that may lack it.
EntryChanges AdoptTable(const EntryBoard& board, const StoredTable& table);

// Dials members without a connection and, while there is no connection to any
// peer, the seed addresses.
EntryChanges DialPeers(const EntryBoard& board, const Now& now);

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& hello);
EntryChanges HandleMinionUpdate(const EntryBoard& board, const AgentRow& agent,
                                const MinionUpdate& update);
EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& event,
                              const Now& now);
EntryChanges HandlePeerDialFailed(const EntryBoard& board,
                                  const PeerDialFailed& event, const Now& now);
EntryChanges HandlePeerHello(const EntryBoard& board, LinkId link,
                             const PeerHello& hello, const Now& now);
EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now);

// Marks agents lost that have left messages unanswered for too long.
EntryChanges DetectSilentAgents(const EntryBoard& board, const Now& now);

// Forgets agents that are lost and off the roster, and lets connected ones that
// were removed be enrolled again.
EntryChanges ReleaseRemovedAgents(const EntryBoard& board, const Now& now);

// Ends the tasks of agents that have been lost for too long as unknown.
EntryChanges EndTasksOfLostAgents(const EntryBoard& board, const Now& now);

// Sends heartbeats to peers that have had no other message for long.
EntryChanges SendPeerHeartbeats(const EntryBoard& board, const Now& now);

// Whether a stopping entry may end: its callers have their answers, and it does
// not dispatch, or dispatches alone and has no open job.
bool OwesNothing(const EntryBoard& board, const Now& now);

// The peer on that link, or null.
const PeerRow* FindPeerByLink(const EntryBoard& board, LinkId link);

}  // namespace dottereltrack
