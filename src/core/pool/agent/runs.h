#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Starts a run if the minion accepts it and has room; refuses it otherwise.
AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const StartRun& message, const Now& now);
AgentChanges HandleStop(const AgentBoard& board, const StopRun& message,
                        const Now& now);
AgentChanges HandleStartAnswered(const AgentBoard& board,
                                 const StartAnswered& e, const Now& now);
AgentChanges HandleStopAnswered(const AgentBoard& board, const StopAnswered& e,
                                const Now& now);

// Begins to stop the runs that a link has asked for.
AgentChanges StopRunsOf(const AgentBoard& board, LinkId link, const Now& now);
// Sends the stop calls that are due, and stops stalled runs.
AgentChanges SendStops(const AgentBoard& board, const Now& now);
AgentChanges StopStalledRuns(const AgentBoard& board, const Now& now);

// Removes a run and reports its end to its entry. `health` is the minion's
// health so far and is brought up to date.
AgentChanges EndRun(const AgentBoard& board, const RunRow& run, RunEnd end,
                    const std::string& evidence, const Now& now,
                    MinionHealth* health);
// Ends all runs as lost.
AgentChanges LoseAllRuns(const AgentBoard& board, const std::string& evidence,
                         const Now& now);

}  // namespace dottereltrack::pool
