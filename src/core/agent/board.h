#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "core/agent/settings.h"
#include "core/cell.h"
#include "core/ids.h"
#include "core/messages.h"
#include "core/minion.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack {

// One task in the ledger.
struct LedgerRow {
  LedgerEntry entry;
  // Copied from another agent; never ran here.
  bool copied = false;
  BootTime recorded_at{0};
  BootTime finished_at{0};
  microseconds run_time{0};
  Needs needs;

  const TaskId& Key() const { return entry.id; }
  friend bool operator==(const LedgerRow&, const LedgerRow&) = default;
};

struct WitnessRow {
  WitnessEntry entry;
  BootTime recorded_at{0};

  const SubmissionId& Key() const { return entry.submission; }
  friend bool operator==(const WitnessRow&, const WitnessRow&) = default;
};

// A connection to an entry.
struct EntryLink {
  LinkId id;
  EntryId entry;
  friend auto operator<=>(const EntryLink&, const EntryLink&) = default;
  const LinkId& Key() const { return id; }
};

// A dial of an entry that is under way, or when to try again.
struct EntryDial {
  Endpoint address;
  bool dialing = false;
  LinkId link;
  BootTime next_try_at{0};

  const Endpoint& Key() const { return address; }
  friend bool operator==(const EntryDial&, const EntryDial&) = default;
};

enum class AgentCounter {
  kStarts,
  kStartsRefused,
  kDuplicateStartsDropped,
  kStaleFenceMessages,
  kResultsSent,
  kMessagesSent,
  kInventoriesSent,
  kOutputsDropped,
};

inline constexpr std::size_t kAgentCounterCount =
    static_cast<std::size_t>(AgentCounter::kOutputsDropped) + 1;

// The whole state of an agent. Only `Apply` alters it.
struct AgentBoard {
  AgentSettings settings;
  // Empty until the minion has announced itself.
  std::optional<MinionDescription> minion;
  // Newest fence; all older ones are refused.
  Fence fence;
  // Link that brought the newest fence.
  LinkId dispatcher_link;
  // Newest sequence number handled under the fence, and the one last told.
  std::uint64_t handled_seq = 0;
  std::uint64_t acked_seq = 0;
  BootTime unacked_since{0};
  StoredTable table;
  StoredConfig config;
  bool stopping = false;
  BootTime stopping_since{0};
  bool leave_sent = false;

  Table<LedgerRow> ledger;
  Table<WitnessRow> witnesses;
  Table<EntryLink> links;
  Table<EntryDial> dials;

  // Indexes that `Apply` derives from the ledger.
  std::set<TaskId> running;
  std::set<std::pair<BootTime, TaskId>> finished_by_age;
  std::size_t output_bytes = 0;

  std::array<std::uint64_t, kAgentCounterCount> counters{};
};

}  // namespace dottereltrack
