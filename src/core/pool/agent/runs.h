#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Starts a run if the minion accepts runs and has enough free resources;
// refuses it otherwise.
AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const StartRun& message, const Now& now);
AgentChanges HandleStop(const AgentBoard& board, const StopRun& message,
                        const Now& now);
AgentChanges HandleStartAnswered(const AgentBoard& board,
                                 const StartAnswered& e, const Now& now);
AgentChanges HandleStopAnswered(const AgentBoard& board, const StopAnswered& e,
                                const Now& now);

// Marks the runs that were requested over a link as to be stopped.
AgentChanges StopRunsOfLink(const AgentBoard& board, LinkId link,
                            const Now& now);
// Sends the stop calls that are due.
AgentChanges SendStops(const AgentBoard& board, const Now& now);
// Marks runs without progress as to be stopped.
AgentChanges StopStalledRuns(const AgentBoard& board, const Now& now);

// Removes a run and reports its end to its entry. `health` is the minion's
// health before the end and is updated.
AgentChanges EndRun(const AgentBoard& board, const RunRow& run, RunEnd end,
                    const std::string& reason, const Now& now,
                    MinionHealth* health);
AgentChanges EndAllRunsAsLost(const AgentBoard& board,
                              const std::string& reason, const Now& now);

}  // namespace dottereltrack::pool
