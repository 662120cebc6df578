#include "core/pool/known_entries.h"

#include <algorithm>

namespace dottereltrack::pool {
std::vector<KnownEntry> MergeEntries(const Table<KnownEntry>& known,
                                     const std::vector<Endpoint>& entries,
                                     EntrySource source, const Now& now) {
  const bool from_store = source == EntrySource::kStore;
  std::vector<KnownEntry> rows;
  for (const Endpoint& address : entries) {
    const KnownEntry* found = known.Find(address);
    if (found != nullptr && !from_store) continue;
    KnownEntry row = found == nullptr ? KnownEntry{} : *found;
    row.address = address;
    row.registered = from_store;
    row.seen_at = now.boot;
    rows.push_back(std::move(row));
  }
  if (!from_store) return rows;
  for (const auto& [address, entry] : known) {
    const bool is_listed =
        std::find(entries.begin(), entries.end(), address) != entries.end();
    if (is_listed || !entry.registered) continue;
    rows.push_back(entry);
    rows.back().registered = false;
  }
  return rows;
}

KnownEntry WithDialResult(KnownEntry entry, std::optional<LinkId> link,
                          milliseconds retry_delay, const Now& now) {
  entry.dialing = false;
  entry.link = link;
  entry.next_dial_at = now.boot + retry_delay;
  entry.failed_dials = link ? 0 : entry.failed_dials + 1;
  if (link) entry.seen_at = now.boot;
  return entry;
}

KnownEntry WithLinkClosed(KnownEntry entry, milliseconds retry_delay,
                          const Now& now) {
  entry.link.reset();
  entry.next_dial_at = now.boot + retry_delay;
  return entry;
}

}  // namespace dottereltrack::pool
