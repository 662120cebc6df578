#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/pool/task.h"

namespace dottereltrack::pool {

// Messages between the processes of a pool. Every message proves that its
// sender lives.

// First message of an entry on each link.
struct EntryHello {
  // Random id of this run of the entry.
  std::uint64_t entry = 0;
  std::vector<Endpoint> known_entries;
  friend bool operator==(const EntryHello&, const EntryHello&) = default;
};

// Asks an agent to start a run. The agent answers with StartRefused or, later,
// with RunEnded.
struct StartRun {
  // Counts the starts of one link from 1.
  std::uint64_t sequence = 0;
  RunKey run;
  Bytes payload;
  Resources needs;
  milliseconds estimate{0};
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

// First message of an agent, and again when its minion has changed.
struct AgentHello {
  // Random id of this run of the agent.
  std::uint64_t agent = 0;
  // Id of the minion's instance; empty while none is known.
  std::string minion;
  std::string service;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  friend bool operator==(const AgentHello&, const AgentHello&) = default;
};

// The room on the agent's minion, after the starts of this link up to
// `handled_starts`.
struct LoadReport {
  std::uint64_t handled_starts = 0;
  Resources free;
  bool accepting = false;
  // No run that an earlier link of this entry has started is left.
  bool settled = false;
  // Mean duration of the minion's runs over their estimates, as logarithm.
  double log_slowness = 0;
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
