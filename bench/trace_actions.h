#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "trace.h"

namespace dottereltrack::bench {

// What a run of a system does at the moments of a scenario and its trace.
struct TraceHandlers {
  // Job `n` of the trace reaches its entry, or its cancellation does.
  std::function<void(std::size_t n)> submit;
  std::function<void(std::size_t n)> cancel;
  std::function<void(const Disturbance&)> disturb;
  // The measured time begins and ends.
  std::function<void()> open_window;
  std::function<void()> close_window;
};

// Something to be done at a time after the start of the trace.
struct TimedAction {
  BootTime at{0};
  std::function<void()> action;
};

// All of it in order. Scenario, trace and handlers must outlive the actions.
std::vector<TimedAction> ActionsOf(const Scenario& scenario, const Trace& trace,
                                   const TraceHandlers& handlers);

}  // namespace dottereltrack::bench
