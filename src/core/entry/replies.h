#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Sends a reply to a caller of this entry or to the entry that forwarded the
// request.
EntryChanges SendReply(const EntryBoard& board, const ReplyTo& reply_to,
                       Reply reply);

// The whole answer of a job that is final.
Answer AnswerOf(const EntryBoard& board, const Job& job);

// Sends the answer of a final job to everyone who waits for it.
EntryChanges AnswerWaiters(const EntryBoard& board, const Job& job);

}  // namespace dottereltrack
