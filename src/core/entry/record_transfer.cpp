#include "core/entry/record_transfer.h"

#include <algorithm>
#include <string>
#include <vector>

#include "core/entry/agent_messages.h"
#include "core/entry/outcomes.h"
#include "core/entry/witnesses.h"

namespace dottereltrack {
namespace {

// Limits of one LedgerCopy message, well below the maximum size of a frame.
constexpr std::size_t kMaxEntriesPerPart = 1'000;
constexpr std::size_t kMaxBytesPerPart = 1 << 20;

// An agent in the roster at a takeover that has not reconnected within this
// time is removed.
constexpr milliseconds kMissingTimeout{10'000};

bool HasRunningTasks(const EntryBoard& board, AgentId id) {
  return board.sent_tasks_by_agent.count(id) != 0;
}

// Whether a witness request to the agent is unacknowledged.
bool HasPendingWitnessRequest(const EntryBoard& board, AgentId id) {
  return std::any_of(board.underreplicated_witnesses.begin(),
                     board.underreplicated_witnesses.end(),
                     [&](const auto& it) {
                       const WitnessRecord& record = *board.witnesses.Find(it);
                       return record.pending_requests.count(id) != 0;
                     });
}

// Whether the agent is lost or leaving, so that its records must be moved to
// other agents.
bool HasDeparted(const EntryBoard& board, const AgentRow& agent,
                 const Now& now) {
  if (!IsInRoster(board.stored_table.table, agent.id)) return false;
  if (board.authority.agents_without_inventory.count(agent.id) != 0) {
    return false;
  }
  if (agent.phase == AgentPhase::kLost) {
    return agent.lost_at + board.settings.agent_timeout <= now.boot;
  }
  return agent.leaving && !HasRunningTasks(board, agent.id) &&
         !HasPendingWitnessRequest(board, agent.id);
}

// Returns a usable agent, in another rack if possible; null if there is none.
const AgentRow* ChooseTarget(const EntryBoard& board, const AgentRow& source) {
  const AgentRow* best = nullptr;
  for (const auto& [id, agent] : board.agents) {
    if (id == source.id || agent.leaving || !CanTakeWork(board, agent)) {
      continue;
    }
    const bool other_rack = RackOf(agent.minion) != RackOf(source.minion);
    if (best == nullptr) best = &agent;
    if (other_rack) return &agent;
  }
  return best;
}

LedgerEntry LedgerEntryOfTask(const EntryBoard& board, const Task& task) {
  const Job& job = *board.jobs.Find(task.id.submission);
  LedgerEntry entry;
  entry.id = task.id;
  entry.job_size = job.task_count;
  entry.body_digest = job.body_digest;
  entry.state = LedgerState::kUnknown;
  entry.output = std::string("its agent was lost");
  if (!task.outcome) return entry;
  if (const auto* done = std::get_if<Done>(&*task.outcome)) {
    entry.state = LedgerState::kDone;
    entry.output = done->result;
  } else if (const auto* failed = std::get_if<Failed>(&*task.outcome)) {
    entry.state = LedgerState::kFailed;
    entry.output = failed->message;
  }
  return entry;
}

LedgerEntry LedgerEntryOfRecord(const EntryBoard& board, const TaskId& id) {
  const RecoveredTask* recovered = board.recovered_tasks.Find(id);
  const Task* task = board.tasks.Find(id);
  if (task != nullptr && (recovered == nullptr || task->holder != AgentId{})) {
    return LedgerEntryOfTask(board, *task);
  }
  LedgerEntry entry = recovered->entry;
  if (entry.state == LedgerState::kRunning) {
    entry.state = LedgerState::kUnknown;
  }
  return entry;
}

std::vector<LedgerEntry> RecordsOf(const EntryBoard& board, AgentId holder) {
  std::vector<LedgerEntry> entries;
  const auto it = board.records_by_holder.find(holder);
  if (it == board.records_by_holder.end()) return entries;
  for (const TaskId& id : it->second) {
    entries.push_back(LedgerEntryOfRecord(board, id));
  }
  return entries;
}

// Whether the agent holds witness records that other agents must still store.
bool HoldsWitnessRecords(const EntryBoard& board, AgentId holder) {
  return std::any_of(
      board.witnesses.begin(), board.witnesses.end(),
      [&](const auto& it) { return it.second.holders.count(holder) != 0; });
}

// Splits the records into messages of bounded size.
std::vector<LedgerCopy> MakeParts(const EntryBoard& board, AgentId source) {
  std::vector<LedgerCopy> parts;
  std::size_t bytes = 0;
  const auto part = [&](std::size_t size) -> LedgerCopy& {
    const bool full = parts.empty() || bytes + size > kMaxBytesPerPart ||
                      parts.back().entries.size() >= kMaxEntriesPerPart;
    if (full) {
      parts.emplace_back();
      parts.back().source = source;
      bytes = 0;
    }
    bytes += size;
    return parts.back();
  };
  for (LedgerEntry& entry : RecordsOf(board, source)) {
    part(entry.output->size()).entries.push_back(std::move(entry));
  }
  return parts;
}

EntryChanges MarkRecordsTransferred(const AgentRow& agent) {
  AgentRow next = agent;
  next.records_transferred = true;
  EntryChanges changes;
  changes.Add(Put<AgentRow>{next});
  return changes;
}

EntryChanges SendRecordCopy(const AgentRow& source, const AgentRow& target,
                            std::vector<LedgerCopy> parts, const Now& now) {
  EntryChanges changes;
  changes.Add(Put<RecordTransfer>{{source.id, target.id, target.fence,
                                   static_cast<std::uint32_t>(parts.size())}});
  AgentRow next = target;
  for (LedgerCopy& part : parts) {
    part.fence = next.fence;
    part.seq = next.next_seq;
    next = AgentRowAfterSend(next, now);
    changes.Add(SendToAgent{target.link, std::move(part)});
    changes.Add(Count{Counter::kLedgerCopies});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  changes.Add(Put<AgentRow>{next});
  return changes;
}

bool IsTransferInProgress(const EntryBoard& board, AgentId source) {
  const RecordTransfer* row = board.record_transfers.Find(source);
  if (row == nullptr) return false;
  const AgentRow* target = board.agents.Find(row->target);
  return target != nullptr && IsFencedMember(board, *target) &&
         target->fence == row->target_fence;
}

EntryChanges MoveRecords(const EntryBoard& board, AgentId source,
                         AgentId target) {
  EntryChanges changes;
  const auto it = board.records_by_holder.find(source);
  if (it != board.records_by_holder.end()) {
    for (const TaskId& id : it->second) {
      if (const Task* task = board.tasks.Find(id)) {
        Task next = *task;
        next.holder = target;
        changes.Add(Put<Task>{next});
      }
      if (const RecoveredTask* recovered = board.recovered_tasks.Find(id)) {
        RecoveredTask next = *recovered;
        next.holder = target;
        if (next.entry.state == LedgerState::kRunning) {
          next.entry.state = LedgerState::kUnknown;
        }
        changes.Add(Put<RecoveredTask>{next});
      }
    }
  }
  return changes;
}

void AddLostAgent(const EntryBoard& board, const RosterAgent& agent,
                  const Now& now, CellTable* table) {
  const std::int64_t expires =
      now.wall.count() + board.settings.retention.count();
  table->lost.push_back({agent.id, agent.rack, expires});
}

// Whether the agent was in the roster at the takeover and has not reconnected
// within the timeout.
bool IsMissingTooLong(const EntryBoard& board, const RosterAgent& agent,
                      const Now& now) {
  if (board.authority.agents_without_inventory.count(agent.id) == 0) {
    return false;
  }
  const AgentRow* row = board.agents.Find(agent.id);
  const bool is_disconnected =
      row == nullptr || row->phase == AgentPhase::kLost;
  return is_disconnected && board.authority.inventory_settled &&
         board.authority.takeover_started_boot + kMissingTimeout <= now.boot;
}

void RemoveReturnedLostAgents(const EntryBoard& board, CellTable* table) {
  std::erase_if(table->lost, [&](const LostAgent& it) {
    const AgentRow* agent = board.agents.Find(it.id);
    return agent != nullptr && agent->phase == AgentPhase::kFenced &&
           board.authority.agents_without_inventory.count(it.id) == 0;
  });
}

}  // namespace

std::size_t RemainingRackCount(const EntryBoard& board, const Now& now) {
  std::set<std::string> racks;
  for (const RosterAgent& it : board.stored_table.table.roster) {
    const AgentRow* agent = board.agents.Find(it.id);
    const bool has_departed =
        agent != nullptr &&
        (agent->records_transferred || HasDeparted(board, *agent, now));
    if (!has_departed) racks.insert(it.rack);
  }
  return std::clamp<std::size_t>(racks.size(), 1, board.settings.witness_count);
}

EntryChanges TransferRecords(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (!board.authority.inventory_settled) return changes;
  for (const auto& [id, agent] : board.agents) {
    if (agent.records_transferred || !HasDeparted(board, agent, now)) continue;
    if (IsTransferInProgress(board, id)) continue;
    std::vector<LedgerCopy> parts = MakeParts(board, id);
    if (parts.empty()) {
      if (!HoldsWitnessRecords(board, id)) {
        changes.Append(MarkRecordsTransferred(agent));
        continue;
      }
      // One source at a time, because sources may hold the same records.
      changes.Append(MoveWitnessRecords(board, id, now));
      break;
    }
    const AgentRow* target = ChooseTarget(board, agent);
    if (target == nullptr) continue;
    changes.Append(SendRecordCopy(agent, *target, std::move(parts), now));
    // One source at a time, because each copy modifies the row of its target.
    break;
  }
  return changes;
}

EntryChanges HandleLedgerCopyAck(const EntryBoard& board, AgentId target,
                                 const LedgerCopyAck& ack) {
  EntryChanges changes;
  const RecordTransfer* row = board.record_transfers.Find(ack.source);
  if (row == nullptr || row->target != target) return changes;
  if (row->unacked_parts > 1) {
    RecordTransfer next = *row;
    --next.unacked_parts;
    changes.Add(Put<RecordTransfer>{next});
    return changes;
  }
  changes.Add(Erase<RecordTransfer>{ack.source});
  changes.Append(MoveRecords(board, ack.source, target));
  return changes;
}

void RemoveTransferredAgents(const EntryBoard& board, const Now& now,
                             CellTable* table) {
  RemoveReturnedLostAgents(board, table);
  std::erase_if(table->roster, [&](const RosterAgent& it) {
    if (IsMissingTooLong(board, it, now)) {
      AddLostAgent(board, it, now, table);
      return true;
    }
    const AgentRow* agent = board.agents.Find(it.id);
    return agent != nullptr && agent->records_transferred;
  });
}

void RemoveConfirmedDead(const EntryBoard& board, const Now& now,
                         CellTable* table) {
  std::erase_if(table->roster, [&](const RosterAgent& it) {
    if (board.confirmed_dead.count(it.id) == 0) return false;
    AddLostAgent(board, it, now, table);
    return true;
  });
}

EntryChanges HandleConfirmDead(const EntryBoard& board,
                               const OperatorConfirmsDead& event,
                               const Now& now) {
  (void)now;
  EntryChanges changes;
  if (board.authority.role == Role::kMember) {
    changes.Add(ReplyToOperator{
        event.call,
        Refusal{RefusalKind::kNoDispatcher,
                "this entry is not the dispatcher; send the command to entry " +
                    ToHex(board.stored_table.table.dispatcher.value),
                ProveNeverAccepted(), std::nullopt}});
    return changes;
  }
  std::set<AgentId> dead = board.confirmed_dead;
  dead.insert(event.agents.begin(), event.agents.end());
  changes.Add(SetConfirmedDead{std::move(dead)});
  changes.Add(ReplyToOperator{event.call, board.stored_table});
  return changes;
}

}  // namespace dottereltrack
