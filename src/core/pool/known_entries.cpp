#include "core/pool/known_entries.h"

#include <algorithm>

namespace dottereltrack::pool {
namespace {

constexpr milliseconds kRemoveUnlistedAfter{60'000};

}  // namespace

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

DialPlan PlanDials(const Table<KnownEntry>& known, const Now& now) {
  DialPlan plan;
  for (const auto& [address, entry] : known) {
    if (entry.link || entry.dialing || now.boot < entry.next_dial_at) continue;
    if (!entry.registered && now.boot - entry.seen_at > kRemoveUnlistedAfter) {
      plan.remove.push_back(address);
      continue;
    }
    plan.dial.push_back(entry);
    plan.dial.back().dialing = true;
  }
  return plan;
}

KnownEntry WithDialResult(KnownEntry entry, std::optional<LinkId> link,
                          milliseconds retry_delay, const Now& now) {
  entry.dialing = false;
  entry.link = link;
  entry.next_dial_at = now.boot + retry_delay;
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
