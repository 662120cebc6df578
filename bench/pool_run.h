#pragma once

#include "cell_run.h"

namespace dottereltrack::bench {

// Runs the trace in virtual time through the entries and agents of a pool,
// which has no dispatcher. Teams and quotas are ignored. A double start is
// counted when two runs of a task overlap.
CellRun RunPool(const Scenario& scenario, const Trace& trace,
                std::uint64_t seed);

}  // namespace dottereltrack::bench
