#include "core/pool/entry/config_exchange.h"

#include <tuple>
#include <utility>

#include "core/pool/config_transfer.h"

namespace dottereltrack::pool {
namespace {

// 2^64 divided by the golden ratio (Knuth, The Art of Computer Programming,
// 6.4): spreads the ids of links.
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15;

ConfigPeer PeerOf(const EntryBoard& board, LinkId link) {
  const ConfigPeer* known = board.config_peers.Find(link);
  if (known != nullptr) return *known;
  ConfigPeer peer;
  peer.link = link;
  return peer;
}

const ConfigTransferSettings& SettingsOf(const EntryBoard& board) {
  return board.settings.config_transfer;
}

ConfigAnnouncement MakeAnnouncement(const EntryBoard& board) {
  return {board.config.version, board.config_text->size(),
          static_cast<std::uint32_t>(SettingsOf(board).link_mbps)};
}

// Whether the other end of the link has to be told the version in force:
// entries on links that this entry has dialed; agents if they may keep a copy
// or have to give one back; and others that have announced an older version.
bool IsAnnouncementDue(const EntryBoard& board, const LinkRow& link,
                       const ConfigPeer* peer, const Now& now) {
  const std::uint64_t version = board.config.version;
  const bool is_told = peer != nullptr && peer->told_version == version;
  if (is_told) return false;
  if (link.dialed_address) return true;
  if (!board.agents.Contains(link.id)) {
    return peer != nullptr && peer->version < version;
  }
  const ConfigTransferSettings& settings = SettingsOf(board);
  if (version != 0 && settings.link_mbps < settings.fast_link_mbps) {
    return false;
  }
  return peer == nullptr ||
         now.boot - peer->told_at >= settings.agent_announcement_interval;
}

bool IsNewer(const EntryBoard& board, const ConfigPeer& peer) {
  return peer.version > board.config.version;
}

bool CanBeAsked(const EntryBoard& board, const ConfigPeer& peer,
                const Now& now) {
  if (!IsNewer(board, peer)) return false;
  return !peer.failed_at ||
         now.boot - *peer.failed_at >= SettingsOf(board).retry_delay;
}

// Order of preference: no recent failure, a fast link, the highest version;
// then a hash, so that the entries do not all ask the same one.
auto Preference(const EntryBoard& board, const ConfigPeer& peer,
                const Now& now) {
  const bool has_failed =
      peer.failed_at &&
      now.boot - *peer.failed_at < SettingsOf(board).failure_memory;
  const bool is_slow =
      peer.link_mbps > 0 && peer.link_mbps < SettingsOf(board).fast_link_mbps;
  const std::uint64_t rank =
      (peer.link.value + board.settings.id) * kHashFactor;
  return std::tuple(has_failed ? *peer.failed_at : BootTime{0}, is_slow,
                    ~peer.version, rank);
}

// Returns the process to request a newer configuration from; null if there is
// none.
const ConfigPeer* ChooseProvider(const EntryBoard& board, const Now& now) {
  const ConfigPeer* best = nullptr;
  for (const auto& [link, peer] : board.config_peers) {
    if (!CanBeAsked(board, peer, now)) continue;
    if (best == nullptr ||
        Preference(board, peer, now) < Preference(board, *best, now)) {
      best = &peer;
    }
  }
  return best;
}

bool KnowsNewerVersion(const EntryBoard& board) {
  for (const auto& [link, peer] : board.config_peers) {
    if (IsNewer(board, peer)) return true;
  }
  return false;
}

void MarkFailed(const EntryBoard& board, LinkId link, const char* reason,
                const Now& now, EntryChanges* changes) {
  const ConfigPeer* known = board.config_peers.Find(link);
  if (known == nullptr) return;
  ConfigPeer peer = *known;
  peer.failed_at = now.boot;
  changes->Add(Put<ConfigPeer>{peer});
  changes->Add(
      Decision{Severity::kFailure,
               "config_request_failed",
               0,
               {{"reason", reason}},
               {{"version", static_cast<std::int64_t>(peer.version)}}});
}

// Gives up a request without an answer and a text that was not read.
ConfigFetch EndOverdueSteps(const EntryBoard& board, const Now& now,
                            EntryChanges* changes) {
  ConfigFetch fetch = board.config_fetch;
  if (fetch.version_in_force != board.config.version) {
    fetch.version_in_force = board.config.version;
    fetch.wanted_since.reset();
  }
  if (fetch.reading_version <= board.config.version) fetch.reading_from.reset();
  if (fetch.asked) {
    const ConfigPeer* peer = board.config_peers.Find(*fetch.asked);
    if (peer == nullptr || !IsNewer(board, *peer)) {
      fetch.asked.reset();
    } else if (now.boot - fetch.asked_at >= AnswerTimeout(SettingsOf(board),
                                                          peer->size_bytes,
                                                          peer->link_mbps)) {
      MarkFailed(board, *fetch.asked, "no answer in time", now, changes);
      fetch.asked.reset();
    }
  }
  if (fetch.reading_from &&
      now.boot - fetch.reading_since >= SettingsOf(board).max_read_time) {
    MarkFailed(board, *fetch.reading_from, "the text was not adopted", now,
               changes);
    fetch.reading_from.reset();
  }
  return fetch;
}

}  // namespace

EntryChanges HandleConfigRead(const EntryBoard& board, const ConfigRead& e) {
  EntryChanges changes;
  if (e.config.version <= board.config.version) return changes;
  changes.Add(SetConfig{e.config, e.text});
  changes.Add(Decision{
      Severity::kStateChange,
      "config_adopted",
      0,
      {},
      {{"version", static_cast<std::int64_t>(e.config.version)},
       {"former_version", static_cast<std::int64_t>(board.config.version)},
       {"queues", static_cast<std::int64_t>(e.config.queues.size())},
       {"bytes", static_cast<std::int64_t>(e.text->size())}}});
  return changes;
}

EntryChanges HandleConfigRefused(const EntryBoard& board,
                                 const ConfigRefused& e, const Now& now) {
  EntryChanges changes;
  MarkFailed(board, e.link, "the text cannot be read", now, &changes);
  if (board.config_fetch.reading_from == e.link) {
    ConfigFetch fetch = board.config_fetch;
    fetch.reading_from.reset();
    changes.Add(SetConfigFetch{fetch});
  }
  return changes;
}

EntryChanges HandleConfigAnnouncement(const EntryBoard& board, LinkId link,
                                      const ConfigAnnouncement& message) {
  EntryChanges changes;
  ConfigPeer peer = PeerOf(board, link);
  peer.version = message.version;
  peer.size_bytes = message.size_bytes;
  peer.link_mbps = message.link_mbps;
  changes.Add(Put<ConfigPeer>{peer});
  return changes;
}

EntryChanges HandleConfigRequest(const EntryBoard& board, LinkId link,
                                 const Now& now) {
  EntryChanges changes;
  ConfigPeer peer = PeerOf(board, link);
  peer.requested_at = now.boot;
  changes.Add(Put<ConfigPeer>{peer});
  return changes;
}

EntryChanges HandleConfigOffer(const EntryBoard& board, LinkId link,
                               const ConfigOffer& message, const Now& now) {
  EntryChanges changes;
  ConfigFetch fetch = board.config_fetch;
  if (fetch.asked == link) fetch.asked.reset();
  if (message.version > board.config.version) {
    fetch.reading_from = link;
    fetch.reading_version = message.version;
    fetch.reading_since = now.boot;
  }
  if (fetch != board.config_fetch) changes.Add(SetConfigFetch{fetch});
  return changes;
}

EntryChanges AnnounceConfig(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [id, link] : board.links) {
    const ConfigPeer* known = board.config_peers.Find(id);
    if (!IsAnnouncementDue(board, link, known, now)) continue;
    ConfigPeer peer = PeerOf(board, id);
    peer.told_version = board.config.version;
    peer.told_at = now.boot;
    changes.Add(Put<ConfigPeer>{peer});
    changes.Add(SendMessage{id, MakeAnnouncement(board)});
  }
  return changes;
}

EntryChanges FetchConfig(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  ConfigFetch fetch = EndOverdueSteps(board, now, &changes);
  if (!KnowsNewerVersion(board)) {
    fetch.wanted_since.reset();
  } else if (!fetch.wanted_since) {
    fetch.wanted_since = now.boot;
  }
  const ConfigPeer* provider = nullptr;
  // A peer that has just been marked as failed is not asked in this turn.
  const bool is_idle =
      !changes.HasEffects() && !fetch.asked && !fetch.reading_from;
  if (fetch.wanted_since && is_idle) provider = ChooseProvider(board, now);
  if (provider != nullptr) {
    const BootTime waited = now.boot - *fetch.wanted_since;
    const bool has_config = board.config.version != 0;
    if (!has_config ||
        waited >= RequestDelay(SettingsOf(board), provider->size_bytes)) {
      fetch.asked = provider->link;
      fetch.asked_at = now.boot;
      changes.Add(
          SendMessage{provider->link, ConfigRequest{provider->version}});
      changes.Add(
          Decision{Severity::kStateChange,
                   "config_requested",
                   0,
                   {},
                   {{"version", static_cast<std::int64_t>(provider->version)},
                    {"bytes", static_cast<std::int64_t>(provider->size_bytes)},
                    {"waited_ms", ToMilliseconds(waited)}}});
    }
  }
  if (fetch != board.config_fetch) changes.Add(SetConfigFetch{fetch});
  return changes;
}

EntryChanges ServeConfig(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.config.version == 0) return changes;
  const auto& settings = SettingsOf(board);
  const std::uint64_t size = board.config_text->size();
  BootTime upload_ends_at = board.config_upload_ends_at;
  for (const auto& [link, peer] : board.config_peers) {
    if (!peer.requested_at) continue;
    ConfigPeer row = peer;
    const BootTime age = now.boot - *peer.requested_at;
    const bool is_given_up =
        age >= AnswerTimeout(settings, size, settings.link_mbps);
    if (!is_given_up && upload_ends_at > now.boot) continue;
    row.requested_at.reset();
    changes.Add(Put<ConfigPeer>{row});
    // The other end has asked another process by now.
    if (is_given_up) continue;
    upload_ends_at = now.boot + UploadInterval(settings, size);
    changes.Add(SendMessage{
        link, ConfigOffer{board.config.version, board.config_text}});
    changes.Add(
        Decision{Severity::kStateChange,
                 "config_sent",
                 0,
                 {},
                 {{"version", static_cast<std::int64_t>(board.config.version)},
                  {"bytes", static_cast<std::int64_t>(size)}}});
  }
  if (upload_ends_at != board.config_upload_ends_at) {
    changes.Add(SetConfigUpload{upload_ends_at});
  }
  return changes;
}

}  // namespace dottereltrack::pool
