#pragma once

#include "api/announcement.h"
#include "core/agent/events.h"
#include "http_client/http_types.h"

namespace dottereltrack {

// Largest result of one task. A result travels in one frame.
inline constexpr std::size_t kMaxResultBytes = 1U << 20;

// The one request that runs a task on the minion. It uses a fresh connection,
// since libcurl repeats a request by itself when a kept connection turns out to
// be closed, and the task would start twice.
HttpCall CallOf(const TaskStart& start, const MinionTarget& target);

// What the end of that request says about the task.
AttemptEnded EndOf(const TaskId& task, HttpResult result,
                   microseconds run_time);

}  // namespace dottereltrack
