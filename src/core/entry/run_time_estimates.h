#pragma once

#include <string>

#include "core/entry/changes.h"

namespace dottereltrack {

// Returns the estimated ratio of run time to declared time for a kind of work
// on a minion. The ratio corrects both for the minion's speed and for
// inaccurate declared times of the kind. Estimates without recent samples decay
// towards 1.
double EstimatedTimeRatio(const EntryBoard& board, const std::string& minion,
                          const std::string& kind, const Now& now);

// Returns the estimated ratio of run time to declared time for a kind of work,
// averaged over the minions that ran it. An empty kind means all work.
double EstimatedKindTimeRatio(const EntryBoard& board, const std::string& kind,
                              const Now& now);

// Updates the run-time estimates with the result of a task that this dispatcher
// started.
EntryChanges UpdateRunTimeEstimates(const EntryBoard& board,
                                    const AgentRow& agent,
                                    const TaskResult& result, const Now& now);

}  // namespace dottereltrack
