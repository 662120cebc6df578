#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Chooses agents in different racks to record the entry. They are asked by the
// next FlushWitnesses.
EntryChanges RequestWitnesses(const EntryBoard& board,
                              const WitnessEntry& entry, const Now& now);

// Sends one request to each agent that has records to keep.
EntryChanges FlushWitnesses(const EntryBoard& board, const Now& now);

// Marks the agent as holder of a submission's witness record, if the
// acknowledged sequence number covers the newest request.
EntryChanges RecordWitness(const EntryBoard& board, AgentId agent,
                           std::uint64_t acked_seq,
                           const SubmissionId& submission);

// Replaces witnesses that are lost or do not answer by agents in other racks.
EntryChanges TendWitnesses(const EntryBoard& board, const Now& now);

// Has the witness records of an agent that is gone recorded by others. Call it
// until no record names the agent as holder.
EntryChanges MoveWitnesses(const EntryBoard& board, AgentId source,
                           const Now& now);

// Whether the submission's record, if it has one, is in enough racks.
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
