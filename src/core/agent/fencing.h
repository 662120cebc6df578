#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Adopts a newer fence, after which the caller must send the inventory.
// Otherwise tells the sender that another dispatcher or session has replaced
// it.
AgentChanges HandleFenceRequest(const AgentBoard& board, LinkId link,
                                const FenceRequest& request, const Now& now);

// Sends the ledger and the witness entries to the dispatcher in messages of
// bounded size, the last of which is marked.
AgentChanges SendInventory(const AgentBoard& board);

// Whether a message comes from the current dispatcher: under the newest fence
// and over the link of that fence. All others must be ignored.
bool IsFromDispatcher(const AgentBoard& board, LinkId link, const Fence& fence);

// Answers a message under an old fence with the newest one, so that its sender
// steps down.
AgentChanges ReportNewerFence(const AgentBoard& board, LinkId link);

}  // namespace dottereltrack
