#pragma once

#include <optional>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack::pool {

// An entry that this process connects to, by its address.
struct KnownEntry {
  Endpoint address;
  // Listed by the store at the last reading.
  bool registered = false;
  bool dialing = false;
  std::optional<LinkId> link;
  BootTime next_dial_at{0};
  // When the store or another process last named it, or it was last reached.
  BootTime seen_at{0};

  const Endpoint& Key() const { return address; }
  friend bool operator==(const KnownEntry&, const KnownEntry&) = default;
};

// Where a list of entries comes from.
enum class EntrySource {
  // All entries that the store lists.
  kStore,
  // Some entries, named by another process or the settings.
  kHearsay,
};

// Rows that a list of entries adds or changes.
std::vector<KnownEntry> MergeEntries(const Table<KnownEntry>& known,
                                     const std::vector<Endpoint>& entries,
                                     EntrySource source, const Now& now);

struct DialPlan {
  // Rows of the entries to be dialed now.
  std::vector<KnownEntry> dial;
  // Entries to be forgotten.
  std::vector<Endpoint> forget;
  friend bool operator==(const DialPlan&, const DialPlan&) = default;
};

// Entries without a link are dialed. One that the store does not list is
// forgotten a minute after it was last heard of; the store may have been away,
// or its registration may have expired meanwhile.
DialPlan PlanDials(const Table<KnownEntry>& known, const Now& now);

// The row after a dial has ended, with the link if it has succeeded.
KnownEntry AfterDial(KnownEntry entry, std::optional<LinkId> link,
                     milliseconds retry, const Now& now);
// The row after its link has closed.
KnownEntry AfterClose(KnownEntry entry, milliseconds retry, const Now& now);

}  // namespace dottereltrack::pool
