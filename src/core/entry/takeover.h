#pragma once

#include <string>

#include "core/entry/changes.h"

namespace dottereltrack {

// Sends a fence with a new session to every connected agent of the roster that
// has none under this generation.
EntryChanges FenceAgents(const EntryBoard& board, const Now& now);

// Takes one part of an agent's ledger.
EntryChanges HandleInventory(const EntryBoard& board, const AgentRow& agent,
                             const Inventory& inventory, const Now& now);

// After the last part of a ledger: makes the agent usable, and queues again
// what was sent to it but never arrived.
EntryChanges FinishInventory(const EntryBoard& board, const AgentRow& agent);

// Lets a new dispatcher place tasks once enough of the roster is fenced.
EntryChanges SettleInventory(const EntryBoard& board, const Now& now);

// Gives the unresolved tasks of one job what the inventories say about them.
// Tasks that may have started on an agent without inventory become unknown.
// Call it again until it returns no change.
EntryChanges ResolveSubmission(const EntryBoard& board,
                               const SubmissionId& submission, const Now& now);

// Whether a task of this key that no inventory knows can be proved not to have
// started under an earlier dispatcher.
bool IsProvablyFresh(const EntryBoard& board, const SubmissionId& id,
                     const std::string& key, const Now& now);

// Whether the inventories name a task of the submission.
bool HasRecoveredTasks(const EntryBoard& board, const SubmissionId& id);

// Whether the inventories name the submission with another body.
bool IsRecoveredWithOtherBody(const EntryBoard& board, const SubmissionId& id,
                              std::uint64_t body_digest);

}  // namespace dottereltrack
