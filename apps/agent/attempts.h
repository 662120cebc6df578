#pragma once

#include "api/announcement.h"
#include "core/agent/events.h"
#include "http_client/http_types.h"

namespace dottereltrack {

// Maximum size of one task's result, which must fit in a single frame.
inline constexpr std::size_t kMaxResultBytes = 1U << 20;

// Builds the HTTP request that runs a task on the minion. It uses a fresh
// connection because libcurl resends a request on its own if a reused
// connection turns out to be closed, which would start the task twice.
HttpCall MakeAttemptCall(const TaskStart& start, const MinionTarget& target);

// Derives the outcome of the task from the result of that request.
AttemptEnded MakeAttemptEnded(const TaskId& task, HttpResult result,
                              microseconds run_time);

}  // namespace dottereltrack
