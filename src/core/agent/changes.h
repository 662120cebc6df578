#pragma once

#include <variant>
#include <vector>

#include "core/agent/board.h"
#include "core/agent/events.h"
#include "core/change_set.h"

namespace dottereltrack {

struct SetMinion {
  MinionDescription minion;
};
struct SetFence {
  Fence fence;
  LinkId link;
};
struct SetHandledSeq {
  std::uint64_t seq = 0;
  BootTime handled_at{0};
};
struct SetAckedSeq {
  std::uint64_t seq = 0;
};
struct SetAgentTable {
  StoredTable table;
};
struct SetAgentConfig {
  StoredConfig config;
};
struct SetAgentStopping {
  BootTime since{0};
};
struct SetLeaveSent {
  bool sent = false;
};
struct IncrementAgentCounter {
  AgentCounter counter;
  std::uint64_t n = 1;
};

using AgentBoardChange =
    std::variant<Put<LedgerRow>, Erase<LedgerRow>, Put<WitnessRow>,
                 Erase<WitnessRow>, Put<EntryLink>, Erase<EntryLink>,
                 Put<EntryDial>, Erase<EntryDial>, SetMinion, SetFence,
                 SetHandledSeq, SetAckedSeq, SetAgentTable, SetAgentConfig,
                 SetAgentStopping, SetLeaveSent, IncrementAgentCounter>;

struct SendToEntry {
  LinkId link;
  AgentToEntry message;
};
// Sends the task to the minion, exactly once, on a new connection.
struct StartOnMinion {
  TaskStart start;
};
struct AbortOnMinion {
  TaskId task;
};
struct DialEntry {
  Endpoint address;
};
struct CloseEntryLink {
  LinkId link;
};
struct ExitAgent {};

using AgentEffect = std::variant<SendToEntry, StartOnMinion, AbortOnMinion,
                                 DialEntry, CloseEntryLink, ExitAgent>;

// The board changes and effects that a controller of the agent requests.
using AgentChanges = ChangeSet<AgentBoardChange, AgentEffect>;

// Applies the board changes in order and updates the indexes. Returns the
// effects, which the caller executes.
std::vector<AgentEffect> Apply(AgentBoard* board, AgentChanges changes);

}  // namespace dottereltrack
