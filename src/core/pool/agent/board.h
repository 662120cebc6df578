#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/pool/agent/kept_config.h"
#include "core/pool/agent/settings.h"
#include "core/pool/evacuation.h"
#include "core/pool/known_entries.h"
#include "core/pool/messages.h"
#include "core/pool/task.h"
#include "core/table.h"

namespace dottereltrack::pool {

// Status report that a minion sends about itself.
struct MinionReport {
  // Id of this instance of the minion.
  std::string id;
  // Unix time of the instance's start. A restarted instance may keep its id.
  std::uint64_t started_ms = 0;
  Endpoint address;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels{};
  Resources capacity;
  bool draining = false;
  // Increases with each report of an instance.
  std::uint64_t sequence = 0;
  // Reading of the minion's clock.
  std::uint64_t clock_ms = 0;
  // How long the minion expects to be slower than usual, because its caches are
  // empty.
  milliseconds cold_remaining{0};
  friend bool operator==(const MinionReport&, const MinionReport&) = default;
};

// A reading of the minion's clock and the local time of its arrival. The
// minion's clock may run up to 2% slower than the local one.
struct ClockReading {
  std::uint64_t minion_clock_ms = 0;
  // Later than the arrival by the time for which this process was paused since:
  // the minion's clock may not have advanced in a pause.
  BootTime read_at{0};
  friend bool operator==(const ClockReading&, const ClockReading&) = default;
};

enum class RunPhase {
  // The start has been sent and is not answered.
  kStarting,
  // The response to the start call was lost; the next poll of the minion shows
  // whether the run exists.
  kUnconfirmed,
  kRunning,
  // A stop is due or has been sent; the run has not ended yet.
  kStopping,
};

// One run on the minion. Its resources stay reserved until its end is known.
struct RunRow {
  RunKey key;
  // Link and entry that requested the run; unset for a run that was found on
  // the minion.
  LinkId link;
  std::uint64_t entry = 0;
  Resources needs;
  milliseconds estimate{0};
  // See StartRun.
  bool is_suspect = false;
  RunPhase phase = RunPhase::kStarting;
  // The minion has accepted the start or listed the run.
  bool has_begun = false;
  BootTime started_at{0};
  // When the run became kUnconfirmed or kRunning.
  BootTime phase_started_at{0};
  // End that is reported if a stop ends the run.
  RunEnd stop_reason = RunEnd::kStopped;
  // Whether a stop call is in flight; if not, when the next one is due.
  bool stop_in_flight = false;
  BootTime next_stop_at{0};
  std::optional<BootTime> stop_answered_at;
  // Unless the minion has accepted the stop by this time, no lease is renewed
  // until it has: the task may be started elsewhere although the run has not
  // ended. Unset if the task's entry waits for the end of the run.
  std::optional<BootTime> must_stop_by;
  // Progress that the minion last reported.
  int percent = 0;
  BootTime progress_at{0};

  const RunKey& Key() const { return key; }
  friend bool operator==(const RunRow&, const RunRow&) = default;
};

// A link to an entry.
struct EntryLinkRow {
  LinkId id;
  Endpoint address;
  // Id of the entry process; 0 until its hello arrives.
  std::uint64_t entry = 0;
  BootTime last_received_at{0};
  BootTime last_sent_at{0};
  BootTime reported_at{0};
  std::uint64_t handled_starts = 0;
  std::optional<LoadReport> last_report;
  // A start was refused or a run ended since the last report.
  bool report_due = false;
  // Shortest interval between two load reports that the entry has asked for; 0
  // if it has asked for none.
  milliseconds report_interval{0};
  // Since when the link is not needed; the entry is told to send no starts.
  std::optional<BootTime> surplus_since;
  // As in LinkRow of an entry.
  std::uint64_t known_evacuation_changes = 0;

  const LinkId& Key() const { return id; }
  friend bool operator==(const EntryLinkRow&, const EntryLinkRow&) = default;
};

// State of the polls of the minion. Each poll renews the lease of the runs and
// reads their state.
struct PollState {
  std::uint64_t sequence = 0;
  bool in_flight = false;
  BootTime sent_at{0};
  // How long the poll in flight may wait for a run to end.
  milliseconds wait{0};
  // The poll in flight has replaced one whose answer was overdue.
  bool follows_overdue = false;
  // When a poll was answered that had replaced an overdue one.
  std::optional<BootTime> answer_lost_at;
  BootTime next_at{0};
  int failures = 0;
  // The last failed poll was refused at once, so no process listens at the
  // minion's address.
  bool connection_refused = false;
  // Number of the last run end that has been processed.
  std::uint64_t last_end_number = 0;
  // Whether a poll has listed the runs that the minion already had when this
  // agent learned of it.
  bool has_inventory = false;
  // The leases that this agent has given expire by this time unless a later
  // call renews them. See LatestLeaseEnd for all leases.
  BootTime lease_ends_at{0};
  // The same, not counting the poll that is in flight.
  BootTime previous_lease_ends_at{0};
  // The minion has restarted under its id and has not answered a poll since, so
  // it may still carry out calls that were meant for the former process.
  bool has_restarted = false;
  // The lease that such a call may have given to the restarted minion ends by
  // this time. Its end was computed for the former process's clock, so that
  // only the minion's own limit applies.
  BootTime inherited_lease_ends_at{0};
  friend bool operator==(const PollState&, const PollState&) = default;
};

// Speed and reliability of the minion, derived from the ends of its runs.
struct MinionHealth {
  double failure_share = 0;
  double log_slowness = 0;
  int successful_runs = 0;
  BootTime suspended_until{0};
  milliseconds next_suspension_duration{0};
  // After a suspension, only one run at a time is accepted until one succeeds.
  bool on_trial = false;
  // When the minion was last found not to have executed a start.
  std::optional<BootTime> missed_start_at;
  friend bool operator==(const MinionHealth&, const MinionHealth&) = default;
};

// The whole state of an agent. Only `Apply` modifies it.
struct AgentBoard {
  AgentSettings settings;
  std::optional<MinionReport> minion;
  // The minion has announced its end.
  bool minion_has_left = false;
  // Another instance that has reported while runs may be at work on `minion`.
  // It replaces `minion` when they have ended or their lease has lapsed, unless
  // `minion` answers a poll before.
  std::optional<MinionReport> successor;
  ClockReading clock;
  PollState poll;
  MinionHealth health;
  // Sent with each call, so that the minion rejects calls of earlier agent
  // processes.
  std::uint64_t fencing_token = 0;
  Table<RunRow> runs;
  // Recent crashes of the minion's instances.
  Table<MinionCrash> crashes;
  EvacuationRegisters evacuations;
  Table<EntryLinkRow> links;
  Table<KnownEntry> entries;
  Table<ConfigSource> config_sources;
  KeptConfig kept_config;
  bool stopping = false;
  BootTime stopping_since{0};
};

}  // namespace dottereltrack::pool
