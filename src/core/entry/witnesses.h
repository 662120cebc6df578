#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Chooses agents in different racks to record the entry. They are asked by the
// next FlushWitnesses.
EntryChanges RequestWitnesses(const EntryBoard& board,
                              const WitnessEntry& entry, const Now& now);

// Sends one request to each agent that has records to keep.
EntryChanges FlushWitnesses(const EntryBoard& board, const Now& now);

// Marks the agent as holder of a submission's witness record.
EntryChanges RecordWitness(const EntryBoard& board, AgentId agent,
                           const SubmissionId& submission);

// Stops waiting for an agent that is lost; the others decide.
EntryChanges ForgetWitness(const EntryBoard& board, AgentId agent,
                           const SubmissionId& submission);

// Whether nothing is awaited for the submission any more.
bool IsWitnessed(const EntryBoard& board, const SubmissionId& submission);

// Lets go on what waits for the witnesses of the submission: opens the job,
// ends it, or sends its refusal.
EntryChanges ContinueAfterWitnesses(const EntryBoard& board,
                                    const SubmissionId& submission,
                                    const Now& now);

// Refuses a submission that has no job here. A refusal that says not_run goes
// out once witnesses have recorded that the submission is closed.
EntryChanges CloseSubmission(const EntryBoard& board, const SubmissionId& id,
                             std::uint64_t body_digest, const Refusal& refusal,
                             const ReplyTo& reply_to, const Now& now);

}  // namespace dottereltrack
