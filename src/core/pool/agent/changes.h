#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "core/change_set.h"
#include "core/pool/agent/board.h"
#include "core/pool/decision.h"

namespace dottereltrack::pool {

struct SetMinion {
  std::optional<MinionReport> minion;
  bool has_left = false;
};
struct SetSuccessor {
  std::optional<MinionReport> successor;
};
struct SetClock {
  ClockReading clock;
};
struct SetPollState {
  PollState poll;
};
struct SetHealth {
  MinionHealth health;
};
struct SetFencingToken {
  std::uint64_t token = 0;
};
struct SetAgentEvacuations {
  EvacuationRegisters evacuations;
};
struct SetKeptConfig {
  KeptConfig kept;
};
struct SetAgentStopping {
  BootTime since{0};
};

using AgentRowChange =
    std::variant<Put<RunRow>, Erase<RunRow>, Put<MinionCrash>,
                 Erase<MinionCrash>, Put<EntryLinkRow>, Erase<EntryLinkRow>,
                 Put<KnownEntry>, Erase<KnownEntry>, Put<ConfigSource>,
                 Erase<ConfigSource>, SetKeptConfig, SetMinion, SetSuccessor,
                 SetClock, SetPollState, SetHealth, SetFencingToken,
                 SetAgentEvacuations, SetAgentStopping>;

struct SendToEntry {
  LinkId link;
  Message message;
};
struct DialEntry {
  Endpoint address;
};
// Closes a link immediately and discards its unsent messages.
struct AbortEntryLink {
  LinkId link;
};

// Calls to the minion. Each names the instance that it is addressed to.
struct CallStart {
  MinionReport minion;
  RunKey run;
  Bytes payload;
  // Time on the minion's clock.
  std::uint64_t lease_ends_ms = 0;
  std::uint64_t fencing_token = 0;
  milliseconds timeout{0};
};
struct CallStop {
  MinionReport minion;
  RunKey run;
  std::uint64_t fencing_token = 0;
  milliseconds timeout{0};
};
struct CallPoll {
  MinionReport minion;
  std::uint64_t sequence = 0;
  // Time on the minion's clock; empty if the lease is not renewed.
  std::optional<std::uint64_t> lease_ends_ms;
  std::uint64_t last_end_number = 0;
  milliseconds wait{0};
  std::uint64_t fencing_token = 0;
  milliseconds timeout{0};
};
struct ExitAgent {};

using AgentEffect =
    std::variant<SendToEntry, DialEntry, AbortEntryLink, CallStart, CallStop,
                 CallPoll, ExitAgent, Decision>;

// Row changes and effects that a controller of the agent requests.
using AgentChanges = ChangeSet<AgentRowChange, AgentEffect>;

// Applies the row changes in order and returns the effects, which the caller
// executes.
std::vector<AgentEffect> Apply(AgentBoard* board, AgentChanges changes);

}  // namespace dottereltrack::pool
