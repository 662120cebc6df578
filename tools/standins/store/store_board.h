#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dottereltrack::standins {

// Larger values are refused.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

using std::chrono::milliseconds;

// One item with the revision of its last write. All keys share one increasing
// revision counter, so a key that was removed and written again has a higher
// revision than before.
struct Item {
  std::string key;
  // Base64, as received.
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  // The item is removed when this lease ends; 0 for none.
  std::uint64_t lease = 0;
  // True if this is a change that removed the item.
  bool removed = false;
  friend bool operator==(const Item&, const Item&) = default;
};

struct Lease {
  std::uint64_t id = 0;
  milliseconds ttl{0};
  // Time on the monotonic clock.
  milliseconds expires_at{0};
  friend bool operator==(const Lease&, const Lease&) = default;
};

enum class FaultMode {
  kUp,
  // Every call is answered with 503 and has no effect.
  kDown,
  // Every call is handled after the delay.
  kSlow,
  // A write takes effect immediately, but is answered after the delay.
  kLoseAnswers,
};

struct Faults {
  FaultMode mode = FaultMode::kUp;
  milliseconds delay{0};
  friend bool operator==(const Faults&, const Faults&) = default;
};

// Number of calls by kind since the start. Each watch call counts once,
// regardless of how long it waits.
struct Counts {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t lease_calls = 0;
  friend bool operator==(const Counts&, const Counts&) = default;
};

// The complete state of the store, except for open watches.
struct StoreBoard {
  // Starts above 0; revision 0 means that a key does not exist.
  std::uint64_t last_revision = 1;
  std::uint64_t last_lease_id = 0;
  std::map<std::string, Item> items;
  // Changes in order of revision. Those up to revision
  // `last_dropped_revision` have been dropped.
  std::deque<Item> history;
  std::uint64_t last_dropped_revision = 0;
  std::map<std::uint64_t, Lease> leases;
  Faults faults;
  Counts counts;
  friend bool operator==(const StoreBoard&, const StoreBoard&) = default;
};

// Changes that are applied atomically.
struct Transaction {
  // Required current revision of each key; 0 if the key must not exist.
  std::map<std::string, std::uint64_t> expected_revisions;
  // Only `key`, `value` and `lease` of each item are used.
  std::vector<Item> puts;
  std::vector<std::string> removals;
  friend bool operator==(const Transaction&, const Transaction&) = default;
};

enum class TransactionStatus { kApplied, kConflict, kNoLease };

// Returns the revision of a key, or 0 if it does not exist.
std::uint64_t RevisionOf(const StoreBoard& board, const std::string& key);

TransactionStatus Commit(StoreBoard* board, const Transaction& transaction);

// Returns the changes of keys with the prefix after the revision, or nullopt if
// some of them have been dropped from the history.
std::optional<std::vector<Item>> ChangesSince(const StoreBoard& board,
                                              const std::string& prefix,
                                              std::uint64_t revision);

Lease GrantLease(StoreBoard* board, milliseconds ttl, milliseconds now);

// Extends a lease to its TTL from `now`. Returns nullopt if it has ended.
std::optional<Lease> RenewLease(StoreBoard* board, std::uint64_t id,
                                milliseconds now);

// Ends a lease and removes its items. Returns false if there is no such lease.
bool EndLease(StoreBoard* board, std::uint64_t id);
// Ends all leases that have expired.
void ExpireLeases(StoreBoard* board, milliseconds now);

// Drops all changes from the history, so that watches from earlier revisions
// fail.
void DropHistory(StoreBoard* board);

// Parses a mode name such as "lose_answers". Returns nullopt for unknown names.
std::optional<FaultMode> ParseFaultMode(const std::string& name);

}  // namespace dottereltrack::standins
