#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Returns the acknowledgement that every message to the dispatcher carries.
AgentAck MakeAck(const AgentBoard& board);

// Sends the result of a finished ledger row to the dispatcher, if it is
// connected.
AgentChanges SendResult(const AgentBoard& board, const LedgerRow& row);

// Sends the refusal of a start over the link on which the start was received.
AgentChanges SendRefusal(const AgentBoard& board, LinkId link,
                         const TaskRefused& refused);

// Records how a task ended and reports it to the dispatcher. A task that
// provably did not start is erased from the ledger, so that it may be placed
// again.
AgentChanges HandleAttemptEnded(const AgentBoard& board,
                                const AttemptEnded& event, const Now& now);

// Ends the tasks that were running on an earlier minion instance with an
// unknown result and reports them.
AgentChanges EndRunningTasks(const AgentBoard& board, const Now& now);

// Acknowledges the handled messages if no other message has done so within the
// acknowledgement delay.
AgentChanges SendAckIfDue(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack
