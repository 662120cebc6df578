#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Accepts or refuses a job. A job that is known by its id is not run again: its
// new caller waits with the others, or gets the outcome at once.
EntryChanges HandleSubmission(const EntryBoard& board, const JobSubmitted& e,
                              const Now& now);

// Expected time until the jobs that wait here have been started, from this
// entry's share of the service's cores.
milliseconds BacklogDelay(const EntryBoard& board, const std::string& service);

}  // namespace dottereltrack::pool
