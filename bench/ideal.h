#pragma once

#include <vector>

#include "trace.h"

namespace dottereltrack::bench {

// The responses of the trace under one central scheduler that knows all true
// speeds, free slots and coming failures, has no message delay inside the
// system, and starts the oldest job's longest task on the fastest free minion.
// Quotas of teams hold here too. The callers' round trip is included.
std::vector<JobResult> RunIdeal(const Scenario& scenario, const Trace& trace);

// The unloaded ideal: as if each job were alone.
std::vector<JobResult> RunUnloadedIdeal(const Scenario& scenario,
                                        const Trace& trace);

}  // namespace dottereltrack::bench
