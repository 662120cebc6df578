#pragma once

#include <string>

#include "core/entry/changes.h"

namespace dottereltrack {

// Sends a fence with a new session to each connected agent of the roster that
// has not been fenced under this generation.
EntryChanges FenceAgents(const EntryBoard& board, const Now& now);

// Processes one part of an agent's inventory.
EntryChanges HandleInventory(const EntryBoard& board, const AgentRow& agent,
                             const Inventory& inventory, const Now& now);

// Completes an inventory after its last part: marks the agent as fenced, and
// queues again the tasks that were sent to it and never arrived.
EntryChanges FinishInventory(const EntryBoard& board, const AgentRow& agent);

// Completes the takeover, so that tasks are placed, once all inventories have
// been read or a majority of the roster has been fenced for long enough.
EntryChanges SettleInventory(const EntryBoard& board, const Now& now);

// Resolves the unresolved tasks of one job from the inventories. Tasks that may
// have started on an agent whose inventory was not read become unknown. Must be
// called again until it returns no change.
EntryChanges ResolveSubmission(const EntryBoard& board,
                               const SubmissionId& submission, const Now& now);

// Whether a task of this key that no inventory lists provably was not started
// by an earlier dispatcher.
bool IsProvablyNotStarted(const EntryBoard& board, const SubmissionId& id,
                          const std::string& key, const Now& now);

// Whether the submission has a job whose tasks still have to be resolved from
// the inventories.
bool IsUnresolved(const EntryBoard& board, const SubmissionId& submission);

// Whether an inventory lists a task of the submission.
bool HasRecoveredTasks(const EntryBoard& board, const SubmissionId& id);

// Whether an inventory lists the submission with a different body.
bool IsRecoveredWithOtherBody(const EntryBoard& board, const SubmissionId& id,
                              std::uint64_t body_digest);

}  // namespace dottereltrack
