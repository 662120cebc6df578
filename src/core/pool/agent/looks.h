#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Takes note of the minion's report. A new instance has none of the former
// one's runs.
AgentChanges HandleMinionReport(const AgentBoard& board,
                                const MinionReport& report, const Now& now);
AgentChanges HandleMinionLeft(const AgentBoard& board, const MinionLeft& e,
                              const Now& now);

// Looks at the minion while it has runs or does not answer.
AgentChanges LookAtMinion(const AgentBoard& board, const Now& now);
AgentChanges HandleLookAnswered(const AgentBoard& board, const LookAnswered& e,
                                const Now& now);

// Ends the runs of a minion that has not answered until their lease has lapsed.
AgentChanges EndLapsedRuns(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
