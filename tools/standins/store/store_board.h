#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dottereltrack::standins {

// The store refuses larger values.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

using std::chrono::milliseconds;

// One value with the revision of its last write. Revisions increase over all
// keys, so a key that was erased and written again has a higher one.
struct StoredValue {
  std::uint64_t revision = 0;
  std::string json;
  // Erased when this lease expires; 0 for none.
  std::uint64_t lease = 0;
  friend bool operator==(const StoredValue&, const StoredValue&) = default;
};

struct Lease {
  std::uint64_t id = 0;
  milliseconds ttl{0};
  // Time since the start of the process.
  milliseconds expires_at{0};
  friend bool operator==(const Lease&, const Lease&) = default;
};

enum class FaultMode {
  kUp,
  // Every call is answered with 503 and has no effect.
  kDown,
  // Every call is handled after the delay.
  kSlow,
  // A write takes effect at once, but its answer comes after the delay.
  kLoseAnswers,
};

struct Faults {
  FaultMode mode = FaultMode::kUp;
  milliseconds delay{0};
  friend bool operator==(const Faults&, const Faults&) = default;
};

// Calls by kind since the start. A watch counts once, however long it waits.
struct Counts {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t lease_calls = 0;
  friend bool operator==(const Counts&, const Counts&) = default;
};

// All state of the stand-in.
struct StoreBoard {
  std::uint64_t last_revision = 0;
  std::uint64_t last_lease = 0;
  std::map<std::string, StoredValue> values;
  std::map<std::uint64_t, Lease> leases;
  Faults faults;
  Counts counts;
  friend bool operator==(const StoreBoard&, const StoreBoard&) = default;
};

enum class PutStatus { kApplied, kConflict, kNoLease };

struct PutResult {
  PutStatus status = PutStatus::kConflict;
  // Revision of the written or of the conflicting value.
  std::uint64_t revision = 0;
  friend bool operator==(const PutResult&, const PutResult&) = default;
};

// Revision of a key; 0 if it does not exist.
std::uint64_t RevisionOf(const StoreBoard& board, const std::string& key);

// Writes a value if the key still has the expected revision.
PutResult Put(StoreBoard* board, const std::string& key,
              std::uint64_t expected_revision, const std::string& json,
              std::uint64_t lease);

Lease GrantLease(StoreBoard* board, milliseconds ttl, milliseconds now);

// Extends a lease; nothing if it has expired.
std::optional<Lease> RenewLease(StoreBoard* board, std::uint64_t id,
                                milliseconds now);

// Erases the leases that have expired and the values attached to them. Returns
// the keys of these values.
std::vector<std::string> ExpireLeases(StoreBoard* board, milliseconds now);

// Mode of a name such as "lose_answers"; nothing for an unknown name.
std::optional<FaultMode> ParseFaultMode(const std::string& name);

}  // namespace dottereltrack::standins
