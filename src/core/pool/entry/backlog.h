#pragma once

#include <string>
#include <vector>

#include "core/pool/entry/board.h"

namespace dottereltrack::pool {

// Returns the waiting work of each service that has minions or waiting tasks,
// in order of the services' names.
std::vector<ServiceBacklog> MeasureBacklogs(const EntryBoard& board,
                                            const Now& now);

// Estimates the time until a task of the service that is submitted now is
// started: the work of the tasks that are placed before it, divided by the
// speed at which this entry's share of the service's minions does work.
milliseconds EstimateBacklogDelay(const EntryBoard& board,
                                  const std::string& service, const Now& now);

// Estimates the time until all waiting tasks of the service have been started.
milliseconds EstimateDrainTime(const EntryBoard& board,
                               const std::string& service, const Now& now);

// Number of entries among which each agent shares its minion.
double SharersOfMinions(const EntryBoard& board);

// Speed at which this entry's share of the service's minions does work, in
// thousandths of a core of a minion of slowness 1.
double EstimateDrainRate(const EntryBoard& board, const std::string& service,
                         const Now& now);

// Work of a task by its estimate, in thousandths of a core times milliseconds.
double WorkOf(const TaskRow& task);
// The same of all these tasks together.
double WorkOf(const UnstartedTasks& tasks);

}  // namespace dottereltrack::pool
