#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Copies the records of agents that are lost or leaving to other agents, so
// that no outcome becomes unknown if only the dispatcher is lost.
EntryChanges TransferRecords(const EntryBoard& board, const Now& now);

// Number of racks in which a witness record must be stored once the departed
// agents have been removed from the roster.
std::size_t RemainingRackCount(const EntryBoard& board, const Now& now);

// Handles the acknowledgement of one part of a copy. With the last one the
// target becomes the holder of the records.
EntryChanges HandleLedgerCopyAck(const EntryBoard& board, AgentId target,
                                 const LedgerCopyAck& ack);

// Removes departed agents from the roster once other agents hold their records.
// Agents whose inventory was not read since the takeover are removed after a
// timeout and listed as lost.
void RemoveTransferredAgents(const EntryBoard& board, const Now& now,
                             CellTable* table);

// Removes agents that an operator has declared dead from the roster and lists
// them as lost.
void RemoveConfirmedDead(const EntryBoard& board, const Now& now,
                         CellTable* table);

// Handles an operator's statement that agents are dead. Refused on an entry
// that is not the dispatcher.
EntryChanges HandleConfirmDead(const EntryBoard& board,
                               const OperatorConfirmsDead& event,
                               const Now& now);

}  // namespace dottereltrack
