#pragma once

#include <chrono>
#include <string>

#include "endpoint/options.h"
#include "http/server.h"

namespace dottereltrack::standins {

// Planned run time and response of one task.
struct TaskPlan {
  std::chrono::microseconds run_time{0};
  // False to close the connection without an answer.
  bool sends_answer = true;
  Response response;
  friend bool operator==(const TaskPlan&, const TaskPlan&) = default;
};

// Plans a task from its payload, which begins with its run time in
// milliseconds.
TaskPlan PlanTask(const EndpointOptions& options, const std::string& payload);

}  // namespace dottereltrack::standins
