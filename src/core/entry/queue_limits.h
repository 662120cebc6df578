#pragma once

#include <optional>

#include "core/entry/board.h"

namespace dottereltrack {

// Estimates how long a new job of the team would wait for its first task to
// start, if jobs started in order of arrival.
BootTime ExpectedWait(const EntryBoard& board, const SubmitRequest& request,
                      const Now& now);

// Refuses a job that does not fit into the bounded queue or that would not end
// by its deadline. The refusal states that nothing has run.
std::optional<Refusal> CheckQueueAndDeadline(const EntryBoard& board,
                                             const SubmitRequest& request,
                                             const Now& now);

}  // namespace dottereltrack
