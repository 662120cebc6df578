#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/pool/agent/settings.h"
#include "core/pool/known_entries.h"
#include "core/pool/messages.h"
#include "core/pool/task.h"
#include "core/table.h"

namespace dottereltrack::pool {

// What a minion says of itself.
struct MinionReport {
  // Id of this instance of the minion.
  std::string id;
  // Unix time of its start. An instance that restarts may keep its id.
  std::uint64_t started_ms = 0;
  Endpoint address;
  std::string service;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  bool draining = false;
  // Rises with each report of an instance.
  std::uint64_t sequence = 0;
  // The minion's own clock.
  std::uint64_t clock_ms = 0;
  friend bool operator==(const MinionReport&, const MinionReport&) = default;
};

// A reading of the minion's clock and the time of its arrival here. The clock
// shows at least this much more later on, less 2%.
struct ClockReading {
  std::uint64_t minion_ms = 0;
  BootTime at{0};
  friend bool operator==(const ClockReading&, const ClockReading&) = default;
};

enum class RunPhase {
  // The start has been sent and is not answered.
  kStarting,
  // The answer to the start is lost; the next look at the minion decides.
  kUnconfirmed,
  kRunning,
  // To be stopped; its end is awaited.
  kStopping,
};

// One run on the minion. It occupies its resources until its end is known.
struct RunRow {
  RunKey key;
  // Link and entry that asked for it; none for a run found on the minion.
  LinkId link;
  std::uint64_t entry = 0;
  Resources needs;
  milliseconds estimate{0};
  RunPhase phase = RunPhase::kStarting;
  BootTime started_at{0};
  // Since when it is kUnconfirmed or kRunning.
  BootTime phase_since{0};
  // How its end is reported if a stop ends it.
  RunEnd stop_reason = RunEnd::kStopped;
  // A stop call is under way, or when the next one is due.
  bool stop_in_flight = false;
  BootTime next_stop_at{0};
  std::optional<BootTime> stop_answered_at;
  // Share of the work done, as the minion last showed it.
  int percent = 0;
  BootTime progress_at{0};

  const RunKey& Key() const { return key; }
  friend bool operator==(const RunRow&, const RunRow&) = default;
};

// A link to an entry.
struct EntryLinkRow {
  LinkId id;
  Endpoint address;
  // Id of the entry's run; 0 before its hello.
  std::uint64_t entry = 0;
  BootTime heard_at{0};
  BootTime sent_at{0};
  BootTime reported_at{0};
  std::uint64_t handled_starts = 0;
  std::optional<LoadReport> reported;
  // A start was refused or a run ended since the last report.
  bool report_due = false;

  const LinkId& Key() const { return id; }
  friend bool operator==(const EntryLinkRow&, const EntryLinkRow&) = default;
};

// Looks at the minion: each renews the lease of its runs and reads their state.
struct LookState {
  std::uint64_t sequence = 0;
  bool in_flight = false;
  BootTime sent_at{0};
  BootTime next_at{0};
  int failures = 0;
  // Last end that has been taken note of.
  std::uint64_t last_end = 0;
  // The runs that the minion had before this agent knew it are known.
  bool inventoried = false;
  // By this time the runs are dead unless a later call renews their lease.
  BootTime lease_ends_at{0};
  // The same without the look that is in flight.
  BootTime former_lease_ends_at{0};
  friend bool operator==(const LookState&, const LookState&) = default;
};

// What the minion's runs tell about it.
struct MinionHealth {
  double failure_share = 0;
  double log_slowness = 0;
  int done_runs = 0;
  BootTime suspended_until{0};
  milliseconds next_suspension{0};
  // After a suspension one run at a time is taken until one has succeeded.
  bool on_trial = false;
  friend bool operator==(const MinionHealth&, const MinionHealth&) = default;
};

// The whole state of an agent. Only `Apply` alters it.
struct AgentBoard {
  AgentSettings settings;
  std::optional<MinionReport> minion;
  ClockReading clock;
  LookState look;
  MinionHealth health;
  // Fences off calls of earlier runs of this process.
  std::uint64_t fencing_token = 0;
  Table<RunRow> runs;
  Table<EntryLinkRow> links;
  Table<KnownEntry> entries;
  bool stopping = false;
  BootTime stopping_since{0};
};

}  // namespace dottereltrack::pool
