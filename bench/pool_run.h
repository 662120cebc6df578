#pragma once

#include "cell_run.h"

namespace dottereltrack::bench {

// Runs the trace on the virtual clock through the entries and agents of a pool,
// which have no dispatcher. Teams and quotas are ignored. Double starts are two
// runs of a task at once.
CellRun RunPool(const Scenario& scenario, const Trace& trace,
                std::uint64_t seed);

}  // namespace dottereltrack::bench
