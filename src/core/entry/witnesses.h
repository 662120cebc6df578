#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Selects agents in different racks to store the entry. The next
// SendWitnessRequests sends them the requests.
EntryChanges RequestWitnesses(const EntryBoard& board,
                              const WitnessEntry& entry, const Now& now);

// Sends the outstanding requests, combined into one message for each agent.
EntryChanges SendWitnessRequests(const EntryBoard& board, const Now& now);

// Records the agent as holder of a submission's witness record if the
// acknowledged sequence number covers the newest request to the agent.
EntryChanges ConfirmWitness(const EntryBoard& board, AgentId agent,
                            std::uint64_t acked_seq,
                            const SubmissionId& submission);

// Selects agents in other racks to replace witnesses that are lost or have not
// acknowledged in time.
EntryChanges ReplaceFailedWitnesses(const EntryBoard& board, const Now& now);

// Has other agents store the witness records of a departed agent. Must be
// called until no record lists the agent as holder.
EntryChanges MoveWitnessRecords(const EntryBoard& board, AgentId source,
                                const Now& now);

// Whether the submission has no witness record, or one in enough racks.
bool IsWitnessed(const EntryBoard& board, const SubmissionId& submission);

// Resumes what waits for the submission's witnesses: opens the job, ends it, or
// sends the refusal.
EntryChanges ResumeAfterWitnesses(const EntryBoard& board,
                                  const SubmissionId& submission,
                                  const Now& now);

// Refuses a submission that has no job on this dispatcher. A refusal that
// states `not_run` is sent once witnesses have recorded that the submission is
// closed.
EntryChanges CloseSubmission(const EntryBoard& board, const SubmissionId& id,
                             std::uint64_t body_digest, const Refusal& refusal,
                             const ReplyTo& reply_to, const Now& now);

}  // namespace dottereltrack
