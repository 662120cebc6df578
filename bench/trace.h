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
  // Time at which the caller submits the job, from the start of the trace.
  BootTime at{0};
  // Time at which the caller cancels the job; zero for never.
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

// Outcome of a job from its caller's point of view.
struct JobResult {
  bool complete = false;
  // Refused with the assurance that no task ran.
  bool refused = false;
  // Arrived after the warm-up and was not cancelled.
  bool measured = false;
  // A job without a complete answer counts with its deadline.
  BootTime response{0};
  // Time at which the caller received the answer or the refusal, from the start
  // of the trace.
  BootTime ended_at{0};
  friend bool operator==(const JobResult&, const JobResult&) = default;
};

// Deterministic: equal scenarios and seeds give equal traces.
Trace MakeTrace(const Scenario& scenario, std::uint64_t seed);

BootTime WorkOf(const TraceJob& job);

// The objective that users state for their kinds of jobs: 1.6 times the run
// time of the longest task on a minion of speed 1, plus 60 ms.
BootTime ObjectiveOf(const TraceJob& job);

// The result of a job that has no complete answer.
JobResult IncompleteResult(const Scenario& scenario, const TraceJob& job);

// The result of a job whose caller had the complete answer at `ended_at`.
JobResult CompleteResult(const Scenario& scenario, const TraceJob& job,
                         BootTime ended_at);

}  // namespace dottereltrack::bench
