#include "core/agent/fencing.h"

#include "core/agent/results.h"

namespace dottereltrack {
namespace {

bool IsInventoryPartFull(const AgentSettings& settings, const Inventory& part,
                         std::size_t bytes) {
  return part.entries.size() + part.witnesses.size() >=
             settings.max_inventory_entries ||
         bytes >= settings.max_inventory_bytes;
}

AgentChanges SendInventoryPart(const AgentBoard& board, Inventory part) {
  AgentChanges changes;
  part.ack = MakeAck(board);
  changes.Add(SendToEntry{board.dispatcher_link, std::move(part)});
  changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  return changes;
}

}  // namespace

AgentChanges HandleFenceRequest(const AgentBoard& board, LinkId link,
                                const FenceRequest& request, const Now& now) {
  if (request.fence <= board.fence) return ReportNewerFence(board, link);
  AgentChanges changes;
  changes.Add(SetFence{request.fence, link});
  changes.Add(SetHandledSeq{request.seq, now.boot});
  changes.Add(SetAckedSeq{request.seq});
  return changes;
}

AgentChanges SendInventory(const AgentBoard& board) {
  AgentChanges changes;
  Inventory part;
  std::size_t bytes = 0;
  for (const auto& [id, row] : board.ledger) {
    if (IsInventoryPartFull(board.settings, part, bytes)) {
      changes.Append(SendInventoryPart(board, std::exchange(part, {})));
      bytes = 0;
    }
    bytes += row.entry.output->size();
    part.entries.push_back(row.entry);
  }
  for (const auto& [id, row] : board.witnesses) {
    if (IsInventoryPartFull(board.settings, part, bytes)) {
      changes.Append(SendInventoryPart(board, std::exchange(part, {})));
      bytes = 0;
    }
    part.witnesses.push_back(row.entry);
  }
  part.last = true;
  changes.Append(SendInventoryPart(board, std::move(part)));
  changes.Add(IncrementAgentCounter{AgentCounter::kInventoriesSent});
  return changes;
}

bool IsFromDispatcher(const AgentBoard& board, LinkId link,
                      const Fence& fence) {
  return fence == board.fence && link == board.dispatcher_link;
}

AgentChanges ReportNewerFence(const AgentBoard& board, LinkId link) {
  AgentChanges changes;
  changes.Add(SendToEntry{link, HeartbeatAck{MakeAck(board)}});
  changes.Add(IncrementAgentCounter{AgentCounter::kStaleFenceMessages});
  changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  return changes;
}

}  // namespace dottereltrack
