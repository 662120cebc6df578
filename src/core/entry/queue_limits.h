#pragma once

#include <optional>

#include "core/entry/board.h"

namespace dottereltrack {

// Time that a new job of the team would wait until its first task starts, if
// jobs start in the order of their arrival.
BootTime ExpectedWait(const EntryBoard& board, const SubmitRequest& request,
                      const Now& now);

// Refuses a job that the bounded queue has no room for, or that would not be
// done by its deadline. Nothing of such a job has run.
std::optional<Refusal> CheckQueue(const EntryBoard& board,
                                  const SubmitRequest& request, const Now& now);

}  // namespace dottereltrack
