#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "trace.h"

namespace dottereltrack::bench {

// Callbacks for the events of a scenario and its trace.
struct TraceHandlers {
  // Job `n` of the trace, or its cancellation, arrives at its entry.
  std::function<void(std::size_t n)> submit;
  std::function<void(std::size_t n)> cancel;
  std::function<void(const Disturbance&)> apply_disturbance;
  // The measurement interval begins and ends.
  std::function<void()> start_measuring;
  std::function<void()> stop_measuring;
};

// An action and its time from the start of the trace.
struct TimedAction {
  BootTime at{0};
  std::function<void()> action;
};

// Returns all actions in order of time. Scenario, trace and handlers must
// outlive the actions.
std::vector<TimedAction> MakeActions(const Scenario& scenario,
                                     const Trace& trace,
                                     const TraceHandlers& handlers);

}  // namespace dottereltrack::bench
