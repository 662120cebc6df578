#include "core/pool/agent/config_copies.h"

#include <algorithm>
#include <utility>

namespace dottereltrack::pool {
namespace {

const ConfigTransferSettings& SettingsOf(const AgentBoard& board) {
  return board.settings.config_transfer;
}

// 2^64 divided by the golden ratio; spreads the ids of links.
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15;

// Order of preference: the highest version; then a hash, so that the agents do
// not all ask the same entry.
auto Preference(const AgentBoard& board, const ConfigSource& source) {
  return std::pair(source.version,
                   (source.link.value + board.settings.id) * kHashFactor);
}

// Returns the entry with a fast link that announces the highest version above
// the kept one; null if there is none.
const ConfigSource* FindSource(const AgentBoard& board) {
  const ConfigTransferSettings& settings = SettingsOf(board);
  const ConfigSource* best = nullptr;
  for (const auto& [link, source] : board.config_sources) {
    const bool is_usable = source.link_mbps >= settings.fast_link_mbps &&
                           source.size_bytes <= settings.max_kept_bytes &&
                           source.version > board.kept_config.version;
    if (!is_usable) continue;
    if (best == nullptr ||
        Preference(board, source) > Preference(board, *best)) {
      best = &source;
    }
  }
  return best;
}

// The time from which on a newer version may be requested. Differs from agent
// to agent, so that they do not load the entries at the same time, and leaves
// the links to the entries while these exchange a change.
BootTime RequestDueAt(const AgentBoard& board, BootTime wanted_since) {
  const ConfigTransferSettings& settings = SettingsOf(board);
  const KeptConfig& kept = board.kept_config;
  const auto spread = [&](milliseconds interval) {
    const auto range = static_cast<std::uint64_t>(interval.count());
    return interval + milliseconds{board.settings.id % range};
  };
  const BootTime due_at = wanted_since + spread(settings.keep_delay);
  if (kept.version == 0) return due_at;
  return std::max(due_at, kept.kept_at + spread(settings.renew_interval));
}

}  // namespace

AgentChanges HandleConfigAnnouncement(const AgentBoard& board, LinkId link,
                                      const ConfigAnnouncement& message) {
  AgentChanges changes;
  if (!board.links.Contains(link)) return changes;
  changes.Add(Put<ConfigSource>{{link, message.version, message.size_bytes,
                                 static_cast<double>(message.link_mbps)}});
  const KeptConfig& kept = board.kept_config;
  if (message.version < kept.version) {
    changes.Add(SendToEntry{
        link, ConfigAnnouncement{
                  kept.version, kept.text->size(),
                  static_cast<std::uint32_t>(SettingsOf(board).link_mbps)}});
  }
  return changes;
}

AgentChanges HandleConfigRequest(const AgentBoard& board, LinkId link) {
  AgentChanges changes;
  const KeptConfig& kept = board.kept_config;
  if (kept.version == 0) return changes;
  changes.Add(SendToEntry{link, ConfigOffer{kept.version, kept.text}});
  changes.Add(
      Decision{Severity::kStateChange,
               "config_sent",
               0,
               {},
               {{"version", static_cast<std::int64_t>(kept.version)},
                {"bytes", static_cast<std::int64_t>(kept.text->size())}}});
  return changes;
}

AgentChanges HandleConfigOffer(const AgentBoard& board, LinkId link,
                               const ConfigOffer& message, const Now& now) {
  AgentChanges changes;
  KeptConfig kept = board.kept_config;
  if (kept.asked == link) kept.asked.reset();
  if (message.version > kept.version &&
      message.text->size() <= SettingsOf(board).max_kept_bytes) {
    kept.version = message.version;
    kept.text = message.text;
    kept.kept_at = now.boot;
    kept.wanted_since.reset();
    changes.Add(
        Decision{Severity::kRoutine,
                 "config_kept",
                 0,
                 {},
                 {{"version", static_cast<std::int64_t>(kept.version)},
                  {"bytes", static_cast<std::int64_t>(kept.text->size())}}});
  }
  changes.Add(SetKeptConfig{kept});
  return changes;
}

AgentChanges RequestConfigCopy(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  KeptConfig kept = board.kept_config;
  const ConfigSource* source = FindSource(board);
  if (kept.asked && now.boot - kept.asked_at >= SettingsOf(board).keep_delay) {
    kept.asked.reset();
  }
  if (source == nullptr) {
    kept.wanted_since.reset();
  } else if (!kept.wanted_since) {
    kept.wanted_since = now.boot;
  }
  const bool is_due = kept.wanted_since && !kept.asked &&
                      now.boot >= RequestDueAt(board, *kept.wanted_since);
  if (is_due) {
    kept.asked = source->link;
    kept.asked_at = now.boot;
    changes.Add(SendToEntry{source->link, ConfigRequest{source->version}});
  }
  if (kept != board.kept_config) changes.Add(SetKeptConfig{kept});
  return changes;
}

}  // namespace dottereltrack::pool
