#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Sends a reply to a caller of this entry, or to the entry that forwarded the
// request. A reply for a call that is no longer open is discarded.
EntryChanges SendReply(const EntryBoard& board, const ReplyTo& reply_to,
                       Reply reply);

// Returns the answer of a final job.
Answer AnswerOf(const EntryBoard& board, const Job& job);

// Sends the answer of a final job to all requests that wait for it.
EntryChanges SendAnswerToWaiters(const EntryBoard& board, const Job& job);

}  // namespace dottereltrack
