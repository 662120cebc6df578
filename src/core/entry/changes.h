#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/change_set.h"
#include "core/entry/board.h"
#include "core/entry/events.h"

namespace dottereltrack {

// Changes of single values of the board.
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
// No table write is unresolved any more.
struct DropPendingTable {};
struct SetStopping {
  BootTime since{0};
};
struct SetConfirmedDead {
  std::set<AgentId> agents;
};
// Takes the next arrival sequence number.
struct TakeArrivalSeq {};
// Takes the next request id.
struct TakeRequestId {};
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
    Put<CancelRequest>, Erase<CancelRequest>, Put<Reprotection>,
    Erase<Reprotection>, SetConfirmedDead, SetAuthority, SetTable, SetConfig,
    SetStoreStatus, DropPendingTable, SetStopping, TakeArrivalSeq,
    TakeRequestId, Count>;

// Work for the input and output code.
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
// The reply to an operator's call: the configuration now in force, or why not.
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
// Nothing is owed any more; the process may end.
struct ExitProcess {};

using EntryEffect =
    std::variant<SendToAgent, SendToPeer, ReplyToCaller, ReplyToOperator,
                 DialPeer, CloseLink, ReadTable, ReadConfig, WriteTable,
                 WriteConfig, ExitProcess>;

// What a controller wants changed and sent.
using EntryChanges = ChangeSet<EntryRowChange, EntryEffect>;

// Applies the row changes in order and keeps the indexes. The effects are left
// to the caller.
void Apply(EntryBoard* board, const EntryChanges& changes);

}  // namespace dottereltrack
