#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/change_set.h"
#include "core/entry/board.h"
#include "core/entry/events.h"

namespace dottereltrack {

// Changes of values of the board that are not table rows.
struct SetAuthority {
  Authority authority;
};
struct SetTable {
  StoredTable table;
};
struct SetConfig {
  StoredConfig config;
};
struct SetStoreStatus {
  StoreStatus status;
};
// Forgets the pending table, which can no longer take effect.
struct DropPendingTable {};
struct SetStopping {
  BootTime since{0};
};
struct SetConfirmedDead {
  std::set<AgentId> agents;
};
// Marks the next arrival sequence number as used.
struct AdvanceArrivalSeq {};
// Marks the next request id as used.
struct AdvanceRequestId {};
struct Count {
  Counter counter;
  std::uint64_t n = 1;
};

using EntryRowChange = std::variant<
    Put<Job>, Erase<Job>, Put<Task>, Erase<Task>, Put<ClosedSubmission>,
    Erase<ClosedSubmission>, Put<Waiter>, Erase<Waiter>, Put<OpenCall>,
    Erase<OpenCall>, Put<AgentRow>, Erase<AgentRow>, Put<InventoryStatus>,
    Erase<InventoryStatus>, Put<RecoveredTask>, Erase<RecoveredTask>,
    Put<WitnessRecord>, Erase<WitnessRecord>, Put<MinionSpeed>,
    Erase<MinionSpeed>, Put<MinionHealth>, Erase<MinionHealth>, Put<PeerRow>,
    Erase<PeerRow>, Put<PendingConfigChange>, Erase<PendingConfigChange>,
    Put<CancelRequest>, Erase<CancelRequest>, Put<RecordTransfer>,
    Erase<RecordTransfer>, SetConfirmedDead, SetAuthority, SetTable, SetConfig,
    SetStoreStatus, DropPendingTable, SetStopping, AdvanceArrivalSeq,
    AdvanceRequestId, Count>;

// Effects, which the I/O code carries out.
struct SendToAgent {
  LinkId link;
  EntryToAgent message;
};
struct SendToPeer {
  LinkId link;
  EntryToEntry message;
};
struct ReplyToCaller {
  CallId call;
  Reply reply;
};
// The reply to an operator's call: the configuration or table now in force, or
// why the call was refused.
struct ReplyToOperator {
  CallId call;
  std::variant<StoredConfig, StoredTable, Refusal> reply;
};
struct DialPeer {
  EntryId peer;
  Endpoint address;
};
struct CloseLink {
  LinkId link;
};
struct ReadTable {};
struct ReadConfig {};
struct WriteTable {
  std::uint64_t expected_revision = 0;
  CellTable table;
};
struct WriteConfig {
  CallId call;
  std::uint64_t expected_revision = 0;
  CellConfig config;
};
// The entry has finished stopping, so the process may exit.
struct ExitProcess {};

using EntryEffect =
    std::variant<SendToAgent, SendToPeer, ReplyToCaller, ReplyToOperator,
                 DialPeer, CloseLink, ReadTable, ReadConfig, WriteTable,
                 WriteConfig, ExitProcess>;

// The board changes and effects that a controller returns.
using EntryChanges = ChangeSet<EntryRowChange, EntryEffect>;

// Applies the row changes in order and updates the indexes. Returns the
// effects, which the caller executes.
std::vector<EntryEffect> Apply(EntryBoard* board, EntryChanges changes);

}  // namespace dottereltrack
