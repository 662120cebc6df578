#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Polls the minion while it has runs, its runs are not known yet, or it does
// not respond.
AgentChanges PollMinion(const AgentBoard& board, const Now& now);
AgentChanges HandlePollAnswered(const AgentBoard& board, const PollAnswered& e,
                                const Now& now);

// Ends the runs of an unresponsive minion as lost once their leases have
// expired.
AgentChanges EndRunsWithExpiredLease(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
