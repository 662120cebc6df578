#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Polls the minion while it has runs, its runs are not known yet, it does not
// respond, or the last reading of its clock is old.
AgentChanges PollMinion(const AgentBoard& board, const Now& now);
AgentChanges HandlePollAnswered(const AgentBoard& board, const PollAnswered& e,
                                const Now& now);

// Requires a poll before the next start, since the minion's state and clock are
// not known after a pause of this process.
AgentChanges PollAfterPause(const AgentBoard& board, milliseconds pause,
                            const Now& now);

// Ends the runs of an unresponsive minion as lost once their leases have
// expired.
AgentChanges EndRunsWithExpiredLease(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
