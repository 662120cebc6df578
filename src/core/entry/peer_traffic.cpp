#include "core/entry/peer_traffic.h"

#include "core/entry/peers.h"

namespace dottereltrack {

EntryChanges RecordPeerSendTimes(const EntryBoard& board,
                                 const std::vector<EntryEffect>& effects,
                                 const Now& now) {
  EntryChanges changes;
  for (const EntryEffect& effect : effects) {
    const auto* send = std::get_if<SendToPeer>(&effect);
    if (send == nullptr) continue;
    const PeerRow* peer = FindPeerByLink(board, send->link);
    if (peer == nullptr || peer->last_sent_at == now.boot) continue;
    PeerRow next = *peer;
    next.last_sent_at = now.boot;
    changes.Add(Put<PeerRow>{next});
  }
  return changes;
}

}  // namespace dottereltrack
