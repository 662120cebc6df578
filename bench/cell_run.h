#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "support/message_tally.h"
#include "trace.h"

namespace dottereltrack::bench {

// Result of running a trace on the real decision code.
struct CellRun {
  std::vector<JobResult> jobs;
  // Messages, store calls and completed tasks between the end of the warm-up
  // and the end of the trace.
  testing::MessageTally messages;
  std::uint64_t store_calls = 0;
  std::uint64_t completed_tasks = 0;
  // Index of the entry that was killed or frozen; negative if none was.
  int faulted_entry = -1;
  // Must be zero.
  std::uint64_t double_starts = 0;
  std::uint32_t overcommitted_slots = 0;
};

// Runs the trace through simulated entries, links and agents in virtual time.
CellRun RunCell(const Scenario& scenario, const Trace& trace,
                std::uint64_t seed);

}  // namespace dottereltrack::bench
