#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack::pool {

// An entry that this process connects to, identified by its address.
struct KnownEntry {
  Endpoint address;
  // Whether the store listed it when it was last read.
  bool registered = false;
  bool dialing = false;
  std::optional<LinkId> link;
  BootTime next_dial_at{0};
  // Connection attempts that have failed since the last link.
  std::uint32_t failed_dials = 0;
  // When the store or another process last listed it, or a connection to it
  // was last established.
  BootTime seen_at{0};

  const Endpoint& Key() const { return address; }
  friend bool operator==(const KnownEntry&, const KnownEntry&) = default;
};

// Where a list of entries comes from.
enum class EntrySource {
  // All entries that the store lists.
  kStore,
  // A partial list from another process or the settings.
  kHint,
};

// Returns the rows that a list of entries adds or changes.
std::vector<KnownEntry> MergeEntries(const Table<KnownEntry>& known,
                                     const std::vector<Endpoint>& entries,
                                     EntrySource source, const Now& now);

// Returns the row after a connection attempt; `link` is empty if it failed.
KnownEntry WithDialResult(KnownEntry entry, std::optional<LinkId> link,
                          milliseconds retry_delay, const Now& now);
// Returns the row after its link was closed.
KnownEntry WithLinkClosed(KnownEntry entry, milliseconds retry_delay,
                          const Now& now);

}  // namespace dottereltrack::pool
