#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/pool/minion_crash.h"
#include "core/pool/task.h"

namespace dottereltrack::pool {

// Messages between the processes of a pool. Every message also
// counts as a heartbeat of its sender.

// First message of an entry on each link; sent again to other entries when it
// learns of a crash.
struct EntryHello {
  // Random id of the entry process.
  std::uint64_t entry = 0;
  std::vector<Endpoint> known_entries;
  // Recent crashes of minions; sent to entries only.
  std::vector<CrashReport> crashes{};
  friend bool operator==(const EntryHello&, const EntryHello&) = default;
};

// Asks an agent to start a run. The agent answers with StartRefused or, later,
// with RunEnded.
struct StartRun {
  // Sequence number of the start on its link, from 1.
  std::uint64_t sequence = 0;
  RunKey run;
  Bytes payload;
  Resources needs;
  milliseconds estimate{0};
  // A minion has crashed with an earlier run of the task. An agent accepts one
  // such run at a time.
  bool is_suspect = false;
  friend bool operator==(const StartRun&, const StartRun&) = default;
};

// Asks an agent to stop a run; answered with RunEnded.
struct StopRun {
  RunKey run;
  friend bool operator==(const StopRun&, const StopRun&) = default;
};

struct Ping {
  friend bool operator==(const Ping&, const Ping&) = default;
};

// The newest configuration that the sender knows, as the operator wrote it.
struct ConfigOffer {
  std::uint64_t version = 0;
  Bytes text;
  friend bool operator==(const ConfigOffer&, const ConfigOffer&) = default;
};

// Entries that the sender knows.
struct KnownEntries {
  std::vector<Endpoint> entries;
  friend bool operator==(const KnownEntries&, const KnownEntries&) = default;
};

// First message of an agent on each link; sent again when its minion changes or
// has crashed.
struct AgentHello {
  // Random id of the agent process.
  std::uint64_t agent = 0;
  // Id of the minion's instance; empty while none is known.
  std::string minion;
  std::string service;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  // Recent crashes of the minion's instances.
  std::vector<CrashReport> crashes{};
  friend bool operator==(const AgentHello&, const AgentHello&) = default;
};

// The load of the agent's minion, taking into account the starts of this link
// up to sequence number `handled_starts`.
struct LoadReport {
  std::uint64_t handled_starts = 0;
  Resources free;
  bool accepting = false;
  // Whether all runs that the entry started over earlier links have ended.
  bool settled = false;
  // Mean logarithm of the ratio of run duration to estimate on the minion.
  double log_slowness = 0;
  // Whether the minion has a run of a suspect task.
  bool has_suspect = false;
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

struct StartRefused {
  RunKey run;
  StartRefusal refusal = StartRefusal::kNoRoom;
  friend bool operator==(const StartRefused&, const StartRefused&) = default;
};

struct RunEnded {
  RunKey run;
  RunEnd end = RunEnd::kLost;
  milliseconds duration{0};
  friend bool operator==(const RunEnded&, const RunEnded&) = default;
};

using Message =
    std::variant<EntryHello, StartRun, StopRun, Ping, ConfigOffer, KnownEntries,
                 AgentHello, LoadReport, StartRefused, RunEnded>;

}  // namespace dottereltrack::pool
