#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Accepts or refuses a job. A job whose id is already known is not run again:
// the new caller waits with the others, or gets the outcome at once.
EntryChanges HandleSubmission(const EntryBoard& board, const JobSubmitted& e,
                              const Now& now);

}  // namespace dottereltrack::pool
