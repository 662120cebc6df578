#pragma once

#include <cstddef>
#include <optional>

#include "core/entry/board.h"

namespace dottereltrack {

// Estimates how long a new job of the team would wait for its first task to
// start, if jobs started in order of arrival.
BootTime ExpectedWait(const EntryBoard& board, const SubmitRequest& request,
                      const Now& now);

// Estimate of the memory of a request and of its queued tasks.
std::size_t MemoryOf(const SubmitRequest& request);

// Refuses a submission that cannot wait here for the dispatcher, because the
// calls that do so use the memory for them.
std::optional<Refusal> CheckUnservedCalls(const EntryBoard& board,
                                          const SubmitRequest& request);

// Refuses a job that does not fit into the bounded queue or that would not end
// by its deadline. The refusal states that nothing has run.
std::optional<Refusal> CheckQueueAndDeadline(const EntryBoard& board,
                                             const SubmitRequest& request,
                                             const Now& now);

}  // namespace dottereltrack
