#include "core/entry/peers.h"

#include <algorithm>
#include <string>

#include "core/entry/configuration.h"
#include "core/entry/membership.h"
#include "core/entry/table_store.h"

namespace dottereltrack {
namespace {

constexpr milliseconds kDialRetryDelay{300};

PeerRow FindOrMakePeer(const EntryBoard& board, EntryId id, const Now& now) {
  if (const PeerRow* peer = board.peers.Find(id)) return *peer;
  PeerRow row;
  row.id = id;
  row.lost_at = now.boot;
  row.last_heard_at = now.boot;
  return row;
}

// Returns a placeholder id for the entry at a seed address. It is used until
// the entry's hello gives the real id.
EntryId PlaceholderSeedId(const Endpoint& address) {
  return {ComputeDigest(address.host + ":" + std::to_string(address.port))};
}

bool HasConnectedPeer(const EntryBoard& board) {
  return std::any_of(board.peers.begin(), board.peers.end(),
                     [](const auto& it) { return !it.second.links.empty(); });
}

EntryChanges DialSeeds(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (HasConnectedPeer(board)) return changes;
  for (const Endpoint& address : board.settings.seeds) {
    if (address == board.settings.peer_address) continue;
    PeerRow peer = FindOrMakePeer(board, PlaceholderSeedId(address), now);
    if (peer.dialing || peer.next_dial_at > now.boot) continue;
    peer.dialing = true;
    changes.Add(Put<PeerRow>{peer});
    changes.Add(DialPeer{peer.id, address});
  }
  return changes;
}

EntryChanges SendPeerHello(const EntryBoard& board, LinkId link) {
  EntryChanges changes;
  changes.Add(SendToPeer{link, PeerHello{board.settings.id, board.stored_table,
                                         board.stored_config}});
  changes.Add(Count{Counter::kMessagesToPeers});
  return changes;
}

}  // namespace

EntryChanges DialPeers(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const Member& member : board.stored_table.table.members) {
    if (member.id == board.settings.id || IsReplacedProcess(board, member)) {
      continue;
    }
    PeerRow peer = FindOrMakePeer(board, member.id, now);
    const bool due =
        peer.links.empty() && !peer.dialing && peer.next_dial_at <= now.boot;
    if (!due) continue;
    peer.dialing = true;
    changes.Add(Put<PeerRow>{peer});
    changes.Add(DialPeer{member.id, member.peer_address});
  }
  changes.Append(DialSeeds(board, now));
  return changes;
}

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& event,
                              const Now& now) {
  PeerRow peer = FindOrMakePeer(board, event.peer, now);
  peer.dialing = false;
  peer.dial_failed = false;
  peer.links.insert(event.link);
  peer.last_heard_at = now.boot;
  EntryChanges changes;
  changes.Add(Put<PeerRow>{peer});
  changes.Append(SendPeerHello(board, event.link));
  return changes;
}

EntryChanges HandlePeerDialFailed(const EntryBoard& board,
                                  const PeerDialFailed& event, const Now& now) {
  PeerRow peer = FindOrMakePeer(board, event.peer, now);
  peer.dialing = false;
  peer.dial_failed = true;
  peer.next_dial_at = now.boot + kDialRetryDelay;
  EntryChanges changes;
  changes.Add(Put<PeerRow>{peer});
  return changes;
}

EntryChanges HandlePeerHello(const EntryBoard& board, LinkId link,
                             const PeerHello& hello, const Now& now) {
  EntryChanges changes;
  if (hello.entry == board.settings.id) {
    // The dialed address leads back to this entry, so both ends of the link are
    // here.
    changes.Add(CloseLink{link});
    return changes;
  }
  PeerRow peer = FindOrMakePeer(board, hello.entry, now);
  const bool known = peer.links.count(link) != 0;
  const PeerRow* dialed = FindPeerByLink(board, link);
  if (dialed != nullptr && dialed->id != hello.entry) {
    // Another process has taken over the address; the entry that was dialed is
    // gone.
    PeerRow dialed_row = *dialed;
    dialed_row.links.erase(link);
    dialed_row.dial_failed = true;
    dialed_row.next_dial_at = now.boot + board.settings.member_timeout;
    changes.Add(Put<PeerRow>{dialed_row});
    if (!peer.links.empty()) {
      // The other process is already connected, and one connection is enough.
      changes.Add(CloseLink{link});
      return changes;
    }
  }
  peer.links.insert(link);
  peer.dial_failed = false;
  peer.last_heard_at = now.boot;
  changes.Add(Put<PeerRow>{peer});
  if (!known && dialed == nullptr) changes.Append(SendPeerHello(board, link));
  changes.Append(AdoptTable(board, hello.table));
  changes.Append(AdoptConfig(board, hello.config));
  return changes;
}

EntryChanges SendPeerHeartbeats(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role == Role::kMember) return changes;
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.empty()) continue;
    if (peer.last_sent_at + board.settings.peer_heartbeat > now.boot) continue;
    PeerRow next = peer;
    next.last_sent_at = now.boot;
    changes.Add(Put<PeerRow>{next});
    changes.Add(SendToPeer{*peer.links.begin(),
                           PeerHeartbeat{board.authority.generation}});
    changes.Add(Count{Counter::kHeartbeatsSent});
    changes.Add(Count{Counter::kMessagesToPeers});
  }
  return changes;
}

const PeerRow* FindPeerByLink(const EntryBoard& board, LinkId link) {
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.count(link) != 0) return &peer;
  }
  return nullptr;
}

}  // namespace dottereltrack
