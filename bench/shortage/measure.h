#pragma once

#include <string>
#include <vector>

#include "measures.h"
#include "shortage/pattern.h"

namespace dottereltrack::bench {

// Outcomes of the jobs of one queue that arrived in the period of a pattern.
struct QueueOutcome {
  std::string queue;
  double jobs = 0;
  // As shares of the jobs. A late job was answered after its objective; a
  // failed one has no complete answer, or was refused.
  double late = 0;
  double failed = 0;
  double refused = 0;
  // Mean and longest time from the arrival of the refused jobs to their
  // refusal, as a share of their clients' timeout.
  double refusal_age = 0;
  double max_refusal_age = 0;
  // Value of the answers divided by that of answers which are all in time.
  double value = 0;
  friend bool operator==(const QueueOutcome&, const QueueOutcome&) = default;
};

struct PatternOutcome {
  std::vector<QueueOutcome> queues;
  // Share of the value of all queues together.
  double value = 0;
  std::uint64_t double_starts = 0;
  friend bool operator==(const PatternOutcome&,
                         const PatternOutcome&) = default;
};

// Runs the pattern with seeds 1 to `seeds`.
PatternOutcome MeasurePattern(const LoadPattern& pattern, int seeds,
                              RunSystem run_system);

// As RunPool, for the central schedule of ideal.h.
CellRun RunIdealSchedule(const Scenario& scenario, const Trace& trace,
                         std::uint64_t seed);

}  // namespace dottereltrack::bench
