#pragma once

#include <string>

#include "core/entry/changes.h"

namespace dottereltrack {

// Expected run time over declared time on that minion for that kind of work. It
// corrects both the minion's speed and the kind's declared times. An estimate
// without recent samples tends towards 1.
double TimeRatioOf(const EntryBoard& board, const std::string& minion,
                   const std::string& kind, const Now& now);

// Expected run time over declared time for that kind of work, averaged over the
// minions that ran it; of all work if the kind is empty.
double KindRatioOf(const EntryBoard& board, const std::string& kind,
                   const Now& now);

// Learns from one result of a task that this dispatcher started.
EntryChanges LearnFromResult(const EntryBoard& board, const AgentRow& agent,
                             const TaskResult& result, const Now& now);

}  // namespace dottereltrack
