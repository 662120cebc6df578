#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "scenario.h"

namespace dottereltrack::bench {

struct TraceTask {
  // Run time on a minion of time ratio 1.
  BootTime work{0};
  milliseconds declared{0};
  friend bool operator==(const TraceTask&, const TraceTask&) = default;
};

struct TraceJob {
  // When the caller sends it, after the start of the trace.
  BootTime at{0};
  // When the caller cancels it; zero for never.
  BootTime cancel_at{0};
  int entry = 0;
  std::string team;
  std::string kind;
  milliseconds deadline{0};
  std::vector<TraceTask> tasks;
  friend bool operator==(const TraceJob&, const TraceJob&) = default;
};

// Jobs in the order of their arrival.
using Trace = std::vector<TraceJob>;

// How a job ended, seen by its caller.
struct JobResult {
  bool complete = false;
  // Refused with the statement that nothing ran.
  bool refused = false;
  // Arrived after the warm-up and was not cancelled.
  bool measured = false;
  // A job without a complete answer counts with its deadline.
  BootTime response{0};
  // When the caller had the answer, after the start of the trace.
  BootTime ended_at{0};
  friend bool operator==(const JobResult&, const JobResult&) = default;
};

// Equal scenarios and seeds give equal traces.
Trace MakeTrace(const Scenario& scenario, std::uint64_t seed);

BootTime WorkOf(const TraceJob& job);

// The result of a job that has no complete answer.
JobResult IncompleteResult(const Scenario& scenario, const TraceJob& job);

// The result of a job whose caller had the complete answer at `ended_at`.
JobResult CompleteResult(const Scenario& scenario, const TraceJob& job,
                         BootTime ended_at);

}  // namespace dottereltrack::bench
