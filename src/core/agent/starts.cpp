#include "core/agent/starts.h"

#include <algorithm>

#include "core/agent/draining.h"
#include "core/agent/fencing.h"
#include "core/agent/results.h"

namespace dottereltrack {
namespace {

// Whether the minion has a slot, a connection and enough memory and
// accelerators free for the task.
bool HasFreeCapacity(const AgentBoard& board, const Needs& needs) {
  const MinionDescription& minion = *board.minion;
  if (board.running.size() >= std::min(minion.slots, minion.connections)) {
    return false;
  }
  Needs used;
  for (const TaskId& id : board.running) {
    const LedgerRow& row = *board.ledger.Find(id);
    used.memory_bytes += row.needs.memory_bytes;
    used.accelerators += row.needs.accelerators;
  }
  return used.memory_bytes + needs.memory_bytes <= minion.memory_bytes &&
         used.accelerators + needs.accelerators <= minion.accelerators;
}

}  // namespace

std::optional<StartRefusal> CheckStart(const AgentBoard& board, LinkId link,
                                       const Fence& fence,
                                       const TaskStart& start) {
  if (!IsFromDispatcher(board, link, fence)) return StartRefusal::kStaleFence;
  if (!board.minion || board.minion->instance != start.minion_instance) {
    return StartRefusal::kStaleInstance;
  }
  if (IsDraining(board)) return StartRefusal::kDraining;
  if (!HasFreeCapacity(board, start.needs)) return StartRefusal::kNoSlot;
  return std::nullopt;
}

AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const Fence& fence, const TaskStart& start,
                         const Now& now) {
  AgentChanges changes;
  const auto refusal = CheckStart(board, link, fence, start);
  if (refusal == StartRefusal::kStaleFence) {
    changes.Add(IncrementAgentCounter{AgentCounter::kStaleFenceMessages});
    changes.Append(SendRefusal(board, link, {start.id, fence, *refusal}));
    return changes;
  }
  if (const LedgerRow* row = board.ledger.Find(start.id)) {
    changes.Add(IncrementAgentCounter{AgentCounter::kDuplicateStartsDropped});
    if (row->entry.state != LedgerState::kRunning) {
      changes.Append(SendResult(board, *row));
    }
    return changes;
  }
  if (refusal) {
    changes.Append(SendRefusal(board, link, {start.id, fence, *refusal}));
    return changes;
  }
  LedgerRow row;
  row.entry.id = start.id;
  row.entry.job_size = start.job_size;
  row.entry.body_digest = start.body_digest;
  row.recorded_at = now.boot;
  row.needs = start.needs;
  changes.Add(Put<LedgerRow>{row});
  changes.Add(IncrementAgentCounter{AgentCounter::kStarts});
  changes.Add(StartOnMinion{start});
  return changes;
}

AgentChanges HandleCancel(const AgentBoard& board, const Fence& fence,
                          const TaskId& task) {
  AgentChanges changes;
  if (fence != board.fence || board.running.count(task) == 0) return changes;
  changes.Add(AbortOnMinion{task});
  return changes;
}

}  // namespace dottereltrack
