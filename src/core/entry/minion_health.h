#pragma once

#include <string>

#include "core/entry/changes.h"

namespace dottereltrack {

// Expected run time over declared time on that minion for that kind of work. An
// estimate without recent samples tends towards 1.
double TimeRatioOf(const EntryBoard& board, const std::string& minion,
                   const std::string& kind, const Now& now);

// Learns from one result of a task that this dispatcher started.
EntryChanges LearnFromResult(const EntryBoard& board, const AgentRow& agent,
                             const TaskResult& result, const Now& now);

}  // namespace dottereltrack
