#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Copies the records of agents that are lost or leave to other agents, so that
// the loss of the dispatcher alone leaves no task in doubt.
EntryChanges Reprotect(const EntryBoard& board, const Now& now);

// Racks in which a record must be kept once the agents that are gone have left
// the roster.
std::size_t RacksThatStay(const EntryBoard& board, const Now& now);

// Takes the acknowledgement of one part of a copy. With the last one the target
// becomes the holder of the records.
EntryChanges HandleLedgerCopyAck(const EntryBoard& board, AgentId target,
                                 const LedgerCopyAck& ack);

// Removes from the roster the agents that are gone and whose records another
// agent holds. Agents that were never inventoried are noted as lost.
void RemoveReprotectedAgents(const EntryBoard& board, const Now& now,
                             CellTable* table);

// Removes the agents that an operator has declared dead.
void RemoveConfirmedDead(const EntryBoard& board, const Now& now,
                         CellTable* table);

// Takes an operator's word that agents are dead. Only the dispatcher can.
EntryChanges HandleConfirmDead(const EntryBoard& board,
                               const OperatorConfirmsDead& event,
                               const Now& now);

}  // namespace dottereltrack
