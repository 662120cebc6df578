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

// The record of one task in the agent's ledger.
struct LedgerRow {
  LedgerEntry entry;
  // Copied from another agent; the task never ran on this one.
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

// Connection state of one entry address: being dialed, connected, or waiting
// until `next_try_at`.
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

// The complete state of an agent. Only `Apply` modifies it.
struct AgentBoard {
  AgentSettings settings;
  // Empty until the minion has announced itself.
  std::optional<MinionDescription> minion;
  // Newest fence received; messages under older ones are refused.
  Fence fence;
  // Link on which the newest fence was received.
  LinkId dispatcher_link;
  // Newest sequence number handled under the current fence, and the newest one
  // acknowledged to the dispatcher.
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

  // Indexes of the ledger, maintained by `Apply`.
  std::set<TaskId> running;
  std::set<std::pair<BootTime, TaskId>> finished_by_age;
  std::size_t output_bytes = 0;

  std::array<std::uint64_t, kAgentCounterCount> counters{};
};

}  // namespace dottereltrack
