#pragma once

#include <vector>

#include "trace.h"

namespace dottereltrack::bench {

// Simulates the trace on an omniscient central scheduler: it knows the true
// speeds, the free slots and future failures, has no message delay inside the
// system, and starts the longest task of the oldest job on the fastest free
// minion. Team quotas apply. Responses include the callers' round trip.
std::vector<JobResult> RunIdeal(const Scenario& scenario, const Trace& trace);

// Simulates each job as if it were the only one in the system.
std::vector<JobResult> RunUnloadedIdeal(const Scenario& scenario,
                                        const Trace& trace);

}  // namespace dottereltrack::bench
