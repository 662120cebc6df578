#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Replies with the state of a submission: its answer if it is final, that it is
// still open, or that it is not found.
EntryChanges ReplyWithSubmission(const EntryBoard& board,
                                 const SubmissionId& submission,
                                 const ReplyTo& reply_to);

// Ends the job's queued tasks as not_run and asks the agents to abandon its
// running tasks. The reply is the job's answer and is sent once that is final.
EntryChanges CancelSubmission(const EntryBoard& board,
                              const SubmissionId& submission,
                              const ReplyTo& reply_to);

// Sends each agent a single message with all tasks that it must abandon.
EntryChanges SendPendingCancels(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
