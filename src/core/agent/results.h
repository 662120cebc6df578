#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// The acknowledgement that every message to the dispatcher carries.
AgentAck AckOf(const AgentBoard& board);

// Sends the result of a finished ledger row to the dispatcher, if it is
// connected.
AgentChanges SendResult(const AgentBoard& board, const LedgerRow& row);

// Sends the refusal of a start over the link that brought it.
AgentChanges SendRefusal(const AgentBoard& board, LinkId link,
                         const TaskRefused& refused);

// Records how a task ended and reports it. A task that provably did not start
// leaves the ledger, so that it may be placed anew.
AgentChanges HandleAttemptEnded(const AgentBoard& board,
                                const AttemptEnded& event, const Now& now);

// Ends the running tasks of an earlier minion instance as unknown.
AgentChanges EndRunningTasks(const AgentBoard& board, const Now& now);

// Tells the dispatcher what has been handled when no other message has.
AgentChanges SendAckIfDue(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack
