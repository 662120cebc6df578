#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Accepts a newer fence and sends the ledger, or tells the sender that it has
// been replaced.
AgentChanges HandleFence(const AgentBoard& board, LinkId link,
                         const FenceRequest& request, const Now& now);

// The ledger in messages of bounded size; the last one is marked.
AgentChanges SendInventory(const AgentBoard& board);

// Notes the newest message of the dispatcher. False if the message comes under
// another fence and must be ignored.
bool IsUnderFence(const AgentBoard& board, LinkId link, const Fence& fence);

// Answers a message under an old fence, so that its sender steps down.
AgentChanges ReportNewerFence(const AgentBoard& board, LinkId link);

}  // namespace dottereltrack
