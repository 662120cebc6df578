#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/pool/known_entries.h"

namespace dottereltrack::pool {

// Which entries a process links to, so that the number of links does not grow
// with the pool.
struct LinkSubset {
  // Random id of the process that links to the entries.
  std::uint64_t process = 0;
  // Number of entries to keep a link to.
  std::size_t max_links = 0;
  friend bool operator==(const LinkSubset&, const LinkSubset&) = default;
};

// Entries of which a process keeps links to some.
struct SubsetChoice {
  // Entries to be linked: those that are, and those to dial.
  std::vector<const KnownEntry*> wanted;
  // Entries whose link is not needed.
  std::vector<const KnownEntry*> surplus;
};

// Chooses by rendezvous hashing (Thaler and Ravishankar, 1998): entries are
// ranked by a hash of the process and the entry's address. The choice differs
// from process to process, and an entry that comes or goes changes it by that
// entry only. An entry that cannot be dialed is wanted beside its substitute,
// so that the link returns with it.
SubsetChoice ChooseEntries(const Table<KnownEntry>& known,
                           const LinkSubset& subset);

struct DialPlan {
  // Rows of the entries to be dialed now.
  std::vector<KnownEntry> dial;
  // Entries to be removed.
  std::vector<Endpoint> remove;
  // Links to entries outside the subset.
  std::vector<LinkId> surplus;
  friend bool operator==(const DialPlan&, const DialPlan&) = default;
};

// Selects the entries without a link to dial. An entry that the store does not
// list is removed only a minute after it was last seen, since the store may
// have been unavailable or the registration may have expired in the meantime.
DialPlan PlanDials(const Table<KnownEntry>& known, const LinkSubset& subset,
                   const Now& now);

}  // namespace dottereltrack::pool
