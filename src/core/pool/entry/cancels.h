#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Cancels a job for a client and tells the other entries, which refuse the job
// if it still arrives there. If this entry does not own it, the reply waits for
// their answers.
EntryChanges HandleCancel(const EntryBoard& board, const JobCancelRequested& e,
                          const Now& now);

// Cancels any active job of the id for another entry and answers.
EntryChanges HandleCancelJob(const EntryBoard& board, LinkId link,
                             const CancelJob& message, const Now& now);

// Replies to the client if the job was found or no answer is missing.
EntryChanges HandleJobCancelled(const EntryBoard& board, LinkId link,
                                const JobCancelled& message);

// An entry that has not answered can't be asked any more.
EntryChanges EndCancelsOfLink(const EntryBoard& board, LinkId link);

// Lets the clients ask again whose cancels have waited too long.
EntryChanges EndOverdueCancels(const EntryBoard& board, const Now& now);

// Tells an entry with a new link of recent cancels. It may have been frozen or
// cut off when they came.
EntryChanges TellRecentCancels(const EntryBoard& board, LinkId link,
                               const Now& now);

}  // namespace dottereltrack::pool
