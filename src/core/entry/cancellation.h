#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Replies with what is known of a submission: its answer, that it is still
// open, or that it is not known here.
EntryChanges FetchSubmission(const EntryBoard& board,
                             const SubmissionId& submission,
                             const ReplyTo& reply_to);

// Ends the job's queued tasks as not_run and asks the agents to abandon its
// running ones. The reply is the answer of the job, once it is final.
EntryChanges CancelSubmission(const EntryBoard& board,
                              const SubmissionId& submission,
                              const ReplyTo& reply_to);

// Sends one message per agent with all tasks that it is to abandon.
EntryChanges FlushCancels(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
