#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "support/message_tally.h"
#include "trace.h"

namespace dottereltrack::bench {

// What a run of the real decision code gave.
struct CellRun {
  std::vector<JobResult> jobs;
  // Messages and store calls from the end of the warm-up to the end of the
  // trace, and the tasks that ended in the same time.
  testing::MessageTally messages;
  std::uint64_t store_calls = 0;
  std::uint64_t completed_tasks = 0;
  // The entry that was killed or frozen; none if negative.
  int struck_entry = -1;
  // Must be zero.
  std::uint64_t double_starts = 0;
  std::uint32_t overcommitted_slots = 0;
};

// Runs the trace on the virtual clock through entries, links and agents.
CellRun RunCell(const Scenario& scenario, const Trace& trace,
                std::uint64_t seed);

}  // namespace dottereltrack::bench
