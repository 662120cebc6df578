#include "core/entry/authority.h"

#include <algorithm>
#include <vector>

#include "core/entry/agent_messages.h"

namespace dottereltrack {
namespace {

// Whether the agent has acknowledged this generation within the authority
// timeout.
bool HasRecentAck(const EntryBoard& board, const RosterAgent& member,
                  const Now& now) {
  const AgentRow* agent = board.agents.Find(member.id);
  return agent != nullptr && agent->phase == AgentPhase::kFenced &&
         agent->fence.generation == board.authority.generation &&
         agent->acked_sent_at + board.settings.authority_timeout > now.boot;
}

bool HasMajority(const EntryBoard& board,
                 const std::vector<RosterAgent>& roster, const Now& now) {
  const auto recent_acks = std::count_if(
      roster.begin(), roster.end(),
      [&](const RosterAgent& it) { return HasRecentAck(board, it, now); });
  return static_cast<std::size_t>(recent_acks) * 2 > roster.size();
}

// Returns the fenced agents, those with the newest acknowledgement first.
std::vector<const AgentRow*> FencedAgents(const EntryBoard& board) {
  std::vector<const AgentRow*> agents;
  for (const auto& [id, agent] : board.agents) {
    if (IsFencedMember(board, agent)) agents.push_back(&agent);
  }
  std::stable_sort(agents.begin(), agents.end(),
                   [](const AgentRow* a, const AgentRow* b) {
                     return a->acked_sent_at > b->acked_sent_at;
                   });
  return agents;
}

EntryChanges SendHeartbeat(const AgentRow& agent, const Now& now) {
  EntryChanges changes;
  changes.Add(SendToAgent{agent.link, Heartbeat{agent.fence, agent.next_seq}});
  changes.Add(Put<AgentRow>{AgentRowAfterSend(agent, now)});
  changes.Add(Count{Counter::kHeartbeatsSent});
  changes.Add(Count{Counter::kMessagesToAgents});
  return changes;
}

EntryChanges StepDown(const EntryBoard& board) {
  EntryChanges changes;
  Authority next;
  next.next_session = board.authority.next_session;
  next.generation = board.stored_table.table.generation;
  next.seen_generation = board.authority.seen_generation;
  next.seen_since = board.authority.seen_since;
  changes.Add(SetAuthority{next});
  changes.Add(Count{Counter::kStepDowns});
  changes.Add(SetConfirmedDead{});
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase == AgentPhase::kLost) continue;
    AgentRow row = agent;
    row.phase = AgentPhase::kConnected;
    row.records_transferred = false;
    changes.Add(Put<AgentRow>{row});
  }
  for (const auto& [key, waiter] : board.waiters) {
    changes.Add(Erase<Waiter>{key});
  }
  for (const auto& [id, task] : board.tasks) changes.Add(Erase<Task>{id});
  for (const auto& [id, job] : board.jobs) changes.Add(Erase<Job>{id});
  for (const auto& [id, row] : board.closed_submissions) {
    changes.Add(Erase<ClosedSubmission>{id});
  }
  for (const auto& [id, row] : board.recovered_tasks) {
    changes.Add(Erase<RecoveredTask>{id});
  }
  for (const auto& [id, row] : board.witnesses) {
    changes.Add(Erase<WitnessRecord>{id});
  }
  for (const auto& [id, row] : board.cancel_requests) {
    changes.Add(Erase<CancelRequest>{id});
  }
  for (const auto& [id, row] : board.record_transfers) {
    changes.Add(Erase<RecordTransfer>{id});
  }
  for (const auto& [id, row] : board.inventories) {
    changes.Add(Erase<InventoryStatus>{id});
  }
  return changes;
}

EntryChanges TakeOver(const EntryBoard& board, const Now& now) {
  Authority next = board.authority;
  next.role = Role::kTakingOver;
  next.generation = board.stored_table.table.generation;
  next.takeover_started_boot = now.boot;
  next.takeover_started_wall = now.wall;
  next.earlier_starts_until_wall = now.wall;
  next.majority_fenced_at.reset();
  next.inventory_settled = false;
  next.agents_without_inventory.clear();
  for (const RosterAgent& agent : board.stored_table.table.roster) {
    next.agents_without_inventory.insert(agent.id);
  }
  EntryChanges changes;
  changes.Add(SetAuthority{next});
  changes.Add(Count{Counter::kTakeovers});
  if (board.stored_config.revision == 0) return changes;
  // The earlier dispatcher may have crashed before it sent the configuration to
  // all agents.
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase == AgentPhase::kLost) continue;
    changes.Add(SendToAgent{agent.link, ConfigUpdate{board.stored_config}});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

}  // namespace

bool HasAuthority(const EntryBoard& board, const Now& now) {
  const Authority& authority = board.authority;
  if (authority.role != Role::kDispatcher || !authority.inventory_settled) {
    return false;
  }
  if (!HasMajority(board, board.stored_table.table.roster, now)) return false;
  const auto& pending = board.store.pending_table;
  return !pending || HasMajority(board, pending->roster, now);
}

EntryChanges SendHeartbeats(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role == Role::kMember) return changes;
  const std::size_t majority = board.stored_table.table.roster.size() / 2 + 1;
  std::size_t rank = 0;
  for (const AgentRow* agent : FencedAgents(board)) {
    const milliseconds limit = rank++ < majority
                                   ? board.settings.majority_heartbeat
                                   : board.settings.agent_heartbeat;
    if (agent->last_sent_at + limit > now.boot) continue;
    changes.Append(SendHeartbeat(*agent, now));
  }
  return changes;
}

EntryChanges UpdateRole(const EntryBoard& board, const Now& now) {
  const CellTable& table = board.stored_table.table;
  const bool is_dispatcher = table.dispatcher == board.settings.id;
  const Role role = board.authority.role;
  const bool is_newer = table.generation > board.authority.generation;
  EntryChanges changes;
  // Another entry may have dispatched between the two generations, even if this
  // one is the dispatcher again.
  if (role != Role::kMember && (!is_dispatcher || is_newer)) {
    changes.Append(StepDown(board));
  }
  if (is_dispatcher && is_newer) changes.Append(TakeOver(board, now));
  return changes;
}

EntryChanges RecordNewGeneration(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const std::uint64_t generation = board.stored_table.table.generation;
  if (generation == board.authority.seen_generation) return changes;
  Authority next = board.authority;
  next.seen_generation = generation;
  next.seen_since = now.boot;
  changes.Add(SetAuthority{next});
  return changes;
}

}  // namespace dottereltrack
