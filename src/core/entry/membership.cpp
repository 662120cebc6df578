#include "core/entry/membership.h"

#include <algorithm>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/configuration.h"
#include "core/entry/forwarding.h"
#include "core/entry/outcomes.h"
#include "core/entry/reprotection.h"

namespace dottereltrack {
namespace {

constexpr milliseconds kDialRetry{300};

// A new dispatcher is given this time before a member that cannot reach it
// takes over. Two entries that have lost only each other would otherwise take
// over from one another as fast as the store writes.
constexpr milliseconds kMinTenure{1'000};

bool IsMember(const CellTable& table, EntryId id) {
  return std::any_of(table.members.begin(), table.members.end(),
                     [&](const Member& it) { return it.id == id; });
}

Member SelfOf(const EntrySettings& settings) {
  return {settings.id, settings.peer_address, settings.data_centre};
}

CellTable FirstTable(const EntrySettings& settings) {
  CellTable table;
  table.generation = 1;
  table.dispatcher = settings.id;
  table.members.push_back(SelfOf(settings));
  return table;
}

// A member at this entry's own address is an earlier process whose place this
// one has taken. Dialling it would reach this entry itself.
bool IsPredecessor(const EntryBoard& board, const Member& member) {
  return member.id != board.settings.id &&
         member.peer_address == board.settings.peer_address;
}

bool HasPredecessor(const EntryBoard& board, EntryId id) {
  const auto& members = board.table.table.members;
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.id == id && IsPredecessor(board, it);
  });
}

// Position among the members that could replace the dispatcher.
std::size_t SuccessorRank(const CellTable& table, EntryId id) {
  return std::count_if(table.members.begin(), table.members.end(),
                       [&](const Member& it) {
                         return it.id < id && it.id != table.dispatcher;
                       });
}

bool ShouldTakeOver(const EntryBoard& board, const Now& now) {
  const CellTable& table = board.table.table;
  if (board.stopping || table.dispatcher == board.settings.id) return false;
  if (!IsMember(table, board.settings.id)) return false;
  if (board.authority.seen_since + kMinTenure > now.boot) return false;
  if (HasPredecessor(board, table.dispatcher)) return true;
  const PeerRow* peer = board.peers.Find(table.dispatcher);
  if (peer == nullptr) return false;
  const BootTime stagger =
      board.settings.takeover_stagger * SuccessorRank(table, board.settings.id);
  if (peer->links.empty() && peer->dial_failed) {
    return peer->lost_at + stagger <= now.boot;
  }
  return peer->last_heard_at + board.settings.peer_timeout + stagger <=
         now.boot;
}

// An entry that cannot reach the dispatcher joins only now and then, because
// the dispatcher removes it again at once.
bool MayJoin(const EntryBoard& board, const Now& now) {
  const PeerRow* peer = board.peers.Find(board.table.table.dispatcher);
  if (peer != nullptr && !peer->links.empty()) return true;
  const BootTime joined_at = board.store.joined_at;
  return joined_at == BootTime{0} ||
         joined_at + board.settings.member_timeout <= now.boot;
}

void Enrol(const EntryBoard& board, CellTable* table) {
  for (const auto& [id, agent] : board.agents) {
    const bool ready = agent.phase == AgentPhase::kConnected &&
                       !agent.minion.draining && !agent.leaving &&
                       board.confirmed_dead.count(id) == 0;
    if (!ready) continue;
    const auto same = [&key = id](const RosterAgent& it) {
      return it.id == key;
    };
    if (std::any_of(table->roster.begin(), table->roster.end(), same)) continue;
    table->roster.push_back({id, agent.minion.name, agent.minion.data_centre,
                             RackOf(agent.minion)});
  }
}

void RemoveGoneMembers(const EntryBoard& board, const Now& now,
                       CellTable* table) {
  const auto gone = [&](const Member& member) {
    if (member.id == board.settings.id) return false;
    if (IsPredecessor(board, member)) return true;
    const PeerRow* peer = board.peers.Find(member.id);
    return peer != nullptr && peer->links.empty() &&
           peer->lost_at + board.settings.member_timeout <= now.boot;
  };
  std::erase_if(table->members, gone);
}

void UpdateRackSpan(const Now& now, CellTable* table) {
  std::set<std::string> racks;
  for (const RosterAgent& agent : table->roster) racks.insert(agent.rack);
  if (racks.size() < 2) {
    table->two_racks_since_ms = 0;
  } else if (table->two_racks_since_ms == 0) {
    table->two_racks_since_ms = now.wall.count();
  }
}

void ExpireLostAgents(const Now& now, CellTable* table) {
  std::erase_if(table->lost, [&](const LostAgent& it) {
    return it.expires_wall_ms <= now.wall.count();
  });
}

// The member that follows a dispatcher that stops; itself if there is none.
EntryId SuccessorOf(const EntryBoard& board) {
  for (const Member& member : board.table.table.members) {
    if (member.id == board.settings.id) continue;
    const PeerRow* peer = board.peers.Find(member.id);
    if (peer != nullptr && !peer->links.empty()) return member.id;
  }
  return board.settings.id;
}

void HandOver(const EntryBoard& board, CellTable* table) {
  const EntryId successor = SuccessorOf(board);
  if (successor == board.settings.id) return;
  ++table->generation;
  table->dispatcher = successor;
  std::erase_if(table->members,
                [&](const Member& it) { return it.id == board.settings.id; });
}

milliseconds RetryDelay(const EntrySettings& settings, std::uint32_t failures,
                        const Now& now) {
  const std::uint32_t shift = std::min<std::uint32_t>(failures, 6);
  const milliseconds longest =
      std::min(settings.store_retry * (1 << shift), settings.max_store_retry);
  // Half of the delay is random, so that entries do not retry in step.
  return longest / 2 + milliseconds{now.random % (longest.count() / 2 + 1)};
}

StoreStatus AfterFailure(const StoreStatus& status,
                         const EntrySettings& settings, const Now& now) {
  StoreStatus next = status;
  next.read_pending = false;
  next.next_try_at = now.boot + RetryDelay(settings, next.failures, now);
  ++next.failures;
  return next;
}

EntryChanges PushTableToPeers(const EntryBoard& board,
                              const StoredTable& table) {
  EntryChanges changes;
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.empty()) continue;
    changes.Add(SendToPeer{*peer.links.begin(), TableUpdate{table}});
    changes.Add(Count{Counter::kMessagesToPeers});
  }
  return changes;
}

EntryChanges PushTableToAgents(const EntryBoard& board,
                               const StoredTable& table) {
  EntryChanges changes;
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase == AgentPhase::kLost) continue;
    changes.Add(SendToAgent{agent.link, TableUpdate{table}});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

PeerRow PeerOrNew(const EntryBoard& board, EntryId id, const Now& now) {
  if (const PeerRow* peer = board.peers.Find(id)) return *peer;
  PeerRow row;
  row.id = id;
  row.lost_at = now.boot;
  row.last_heard_at = now.boot;
  return row;
}

// Stands for the entry at a seed address until its hello tells its id.
EntryId SeedId(const Endpoint& address) {
  return {DigestOf(address.host + ":" + std::to_string(address.port))};
}

bool HasPeers(const EntryBoard& board) {
  return std::any_of(board.peers.begin(), board.peers.end(),
                     [](const auto& it) { return !it.second.links.empty(); });
}

EntryChanges DialSeeds(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (HasPeers(board)) return changes;
  for (const Endpoint& address : board.settings.seeds) {
    if (address == board.settings.peer_address) continue;
    PeerRow peer = PeerOrNew(board, SeedId(address), now);
    if (peer.dialing || peer.next_dial_at > now.boot) continue;
    peer.dialing = true;
    changes.Add(Put<PeerRow>{peer});
    changes.Add(DialPeer{peer.id, address});
  }
  return changes;
}

EntryChanges SendPeerHello(const EntryBoard& board, LinkId link) {
  EntryChanges changes;
  changes.Add(SendToPeer{
      link, PeerHello{board.settings.id, board.table, board.config}});
  changes.Add(Count{Counter::kMessagesToPeers});
  return changes;
}

}  // namespace

std::optional<CellTable> DesiredTable(const EntryBoard& board, const Now& now) {
  if (!board.store.table_known) return std::nullopt;
  if (board.table.revision == 0) {
    if (board.stopping) return std::nullopt;
    return FirstTable(board.settings);
  }
  CellTable table = board.table.table;
  const bool joins = !IsMember(table, board.settings.id) && !board.stopping;
  if (joins && MayJoin(board, now)) {
    table.members.push_back(SelfOf(board.settings));
  }
  if (ShouldTakeOver(board, now)) {
    ++table.generation;
    table.dispatcher = board.settings.id;
  } else if (board.authority.role != Role::kMember &&
             table.dispatcher == board.settings.id) {
    Enrol(board, &table);
    RemoveReprotectedAgents(board, now, &table);
    RemoveGoneMembers(board, now, &table);
    RemoveConfirmedDead(board, now, &table);
    ExpireLostAgents(now, &table);
    UpdateRackSpan(now, &table);
    if (board.stopping) HandOver(board, &table);
  }
  if (table == board.table.table) return std::nullopt;
  return table;
}

EntryChanges WriteDesiredTable(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.store.write_under_way || board.store.read_pending) return changes;
  if (now.boot < board.store.next_try_at) return changes;
  std::optional<CellTable> table = board.store.pending_table;
  if (!table) {
    table = DesiredTable(board, now);
    if (!table) return changes;
    table->writer_nonce = now.random;
  }
  StoreStatus next = board.store;
  next.pending_table = table;
  next.write_under_way = true;
  const EntryId self = board.settings.id;
  const bool joins =
      !IsMember(board.table.table, self) && IsMember(*table, self);
  if (joins) next.joined_at = now.boot;
  changes.Add(SetStoreStatus{next});
  changes.Add(WriteTable{board.table.revision, *table});
  changes.Add(Count{Counter::kStoreCalls});
  return changes;
}

EntryChanges HandleTableWritten(const EntryBoard& board,
                                const TableWritten& event, const Now& now) {
  EntryChanges changes;
  StoreStatus next = board.store;
  next.write_under_way = false;
  if (!board.store.pending_table) {
    // A newer table has been adopted, so this write cannot have any effect.
    changes.Add(SetStoreStatus{next});
    return changes;
  }
  switch (event.status) {
    case WriteStatus::kApplied:
      changes.Append(
          AdoptTable(board, {event.revision, *board.store.pending_table}));
      next.pending_table.reset();
      next.write_undecided = false;
      next.failures = 0;
      break;
    case WriteStatus::kConflict:
      // The other writer may be our own lost call, so only a read resolves it.
      next = AfterFailure(next, board.settings, now);
      next.write_undecided = true;
      next.read_pending = true;
      changes.Add(ReadTable{});
      changes.Add(Count{Counter::kStoreCalls});
      break;
    case WriteStatus::kNotApplied:
      next = AfterFailure(next, board.settings, now);
      // An earlier attempt of the same write may still take effect.
      if (!board.store.write_undecided) next.pending_table.reset();
      break;
    case WriteStatus::kUndecided:
      next = AfterFailure(next, board.settings, now);
      next.write_undecided = true;
      break;
  }
  changes.Add(SetStoreStatus{next});
  return changes;
}

EntryChanges HandleTableSeen(const EntryBoard& board, const StoredTable& table,
                             const Now& now) {
  (void)now;
  EntryChanges changes;
  StoreStatus next = board.store;
  next.table_known = true;
  next.read_pending = false;
  next.failures = 0;
  changes.Add(SetStoreStatus{next});
  changes.Append(AdoptTable(board, table));
  return changes;
}

EntryChanges HandleStoreReadFailed(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  changes.Add(SetStoreStatus{AfterFailure(board.store, board.settings, now)});
  return changes;
}

EntryChanges ReadTableIfNeeded(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.store.table_known || board.store.read_pending) return changes;
  if (now.boot < board.store.next_try_at) return changes;
  StoreStatus next = board.store;
  next.read_pending = true;
  changes.Add(SetStoreStatus{next});
  changes.Add(ReadTable{});
  changes.Add(Count{Counter::kStoreCalls});
  return changes;
}

EntryChanges AdoptTable(const EntryBoard& board, const StoredTable& table) {
  EntryChanges changes;
  if (table.revision <= board.table.revision) return changes;
  changes.Add(SetTable{table});
  // No write against an older revision can take effect any more, wherever the
  // newer one was learned.
  changes.Add(DropPendingTable{});
  if (table.table.generation != board.table.table.generation) {
    changes.Append(UnrouteCalls(board));
  }
  // A dispatcher that hands over tells its successor and the others.
  const bool dispatches = table.table.dispatcher == board.settings.id ||
                          board.authority.role != Role::kMember;
  if (dispatches) changes.Append(PushTableToPeers(board, table));
  // An agent may be connected to this entry only. Without the new members it
  // would never connect to a new dispatcher.
  if (dispatches || table.table.members != board.table.table.members) {
    changes.Append(PushTableToAgents(board, table));
  }
  return changes;
}

EntryChanges DialPeers(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const Member& member : board.table.table.members) {
    if (member.id == board.settings.id || IsPredecessor(board, member)) {
      continue;
    }
    PeerRow peer = PeerOrNew(board, member.id, now);
    const bool due =
        peer.links.empty() && !peer.dialing && peer.next_dial_at <= now.boot;
    if (!due) continue;
    peer.dialing = true;
    changes.Add(Put<PeerRow>{peer});
    changes.Add(DialPeer{member.id, member.peer_address});
  }
  changes.Append(DialSeeds(board, now));
  return changes;
}

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& hello) {
  AgentRow agent;
  agent.id = hello.agent;
  if (const AgentRow* old = board.agents.Find(hello.agent)) agent = *old;
  EntryChanges changes;
  if (agent.link != link && agent.link != LinkId{}) {
    changes.Add(CloseLink{agent.link});
  }
  agent.link = link;
  agent.phase = AgentPhase::kConnected;
  agent.minion = hello.minion;
  agent.unacked.clear();
  // While a write that removes the agent may take effect, it takes no work.
  agent.reprotected = agent.reprotected && !StaysInRoster(board, hello.agent);
  changes.Add(Put<AgentRow>{agent});
  changes.Add(Erase<Reprotection>{agent.id});
  changes.Add(Erase<InventoryStatus>{agent.id});
  changes.Add(SendToAgent{
      link, EntryHello{board.settings.id, board.table, board.config}});
  changes.Add(Count{Counter::kMessagesToAgents});
  changes.Append(AdoptConfig(board, hello.config));
  return changes;
}

EntryChanges HandleMinionUpdate(const EntryBoard& board, const AgentRow& agent,
                                const MinionUpdate& update) {
  (void)board;
  AgentRow next = agent;
  next.minion = update.minion;
  next.leaving = update.leaving;
  EntryChanges changes;
  changes.Add(Put<AgentRow>{next});
  return changes;
}

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& event,
                              const Now& now) {
  PeerRow peer = PeerOrNew(board, event.peer, now);
  peer.dialing = false;
  peer.dial_failed = false;
  peer.links.insert(event.link);
  peer.last_heard_at = now.boot;
  EntryChanges changes;
  changes.Add(Put<PeerRow>{peer});
  changes.Append(SendPeerHello(board, event.link));
  return changes;
}

EntryChanges HandlePeerDialFailed(const EntryBoard& board,
                                  const PeerDialFailed& event, const Now& now) {
  PeerRow peer = PeerOrNew(board, event.peer, now);
  peer.dialing = false;
  peer.dial_failed = true;
  peer.next_dial_at = now.boot + kDialRetry;
  EntryChanges changes;
  changes.Add(Put<PeerRow>{peer});
  return changes;
}

EntryChanges HandlePeerHello(const EntryBoard& board, LinkId link,
                             const PeerHello& hello, const Now& now) {
  EntryChanges changes;
  if (hello.entry == board.settings.id) {
    // An address that leads back here; both ends of the link are ours.
    changes.Add(CloseLink{link});
    return changes;
  }
  PeerRow peer = PeerOrNew(board, hello.entry, now);
  const bool known = peer.links.count(link) != 0;
  const PeerRow* dialed = FindPeerByLink(board, link);
  if (dialed != nullptr && dialed->id != hello.entry) {
    // Another process has the address now; the one that was dialed is gone.
    PeerRow gone = *dialed;
    gone.links.erase(link);
    gone.dial_failed = true;
    gone.next_dial_at = now.boot + board.settings.member_timeout;
    changes.Add(Put<PeerRow>{gone});
    if (!peer.links.empty()) {
      // One connection to the other process is enough.
      changes.Add(CloseLink{link});
      return changes;
    }
  }
  peer.links.insert(link);
  peer.dial_failed = false;
  peer.last_heard_at = now.boot;
  changes.Add(Put<PeerRow>{peer});
  if (!known && dialed == nullptr) changes.Append(SendPeerHello(board, link));
  changes.Append(AdoptTable(board, hello.table));
  changes.Append(AdoptConfig(board, hello.config));
  return changes;
}

EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now) {
  EntryChanges changes;
  if (const AgentRow* agent = FindAgentByLink(board, link)) {
    AgentRow next = *agent;
    next.phase = AgentPhase::kLost;
    next.lost_at = now.boot;
    changes.Add(Put<AgentRow>{next});
    changes.Add(Erase<InventoryStatus>{next.id});
  }
  if (const PeerRow* peer = FindPeerByLink(board, link)) {
    PeerRow next = *peer;
    next.links.erase(link);
    if (next.links.empty()) next.lost_at = now.boot;
    next.next_dial_at = now.boot;
    changes.Add(Put<PeerRow>{next});
  }
  changes.Append(UnrouteCallsOn(board, link));
  for (const auto& [key, waiter] : board.waiters) {
    const auto* peer = std::get_if<PeerRequest>(&waiter.reply_to);
    if (peer != nullptr && peer->link == link) changes.Add(Erase<Waiter>{key});
  }
  return changes;
}

EntryChanges DetectSilentAgents(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role == Role::kMember) return changes;
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase == AgentPhase::kLost || agent.unacked.empty()) continue;
    const BootTime oldest = agent.unacked.front().sent_at;
    if (oldest + board.settings.agent_timeout > now.boot) continue;
    changes.Add(CloseLink{agent.link});
    changes.Append(HandleLinkClosed(board, agent.link, now));
  }
  return changes;
}

EntryChanges ReleaseRemovedAgents(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [id, agent] : board.agents) {
    if (StaysInRoster(board, id)) continue;
    if (board.store.pending_table) continue;
    if (agent.phase == AgentPhase::kLost) {
      const bool old = agent.lost_at + board.settings.agent_timeout <= now.boot;
      if (old) changes.Add(Erase<AgentRow>{id});
    } else if (agent.phase != AgentPhase::kConnected || agent.reprotected) {
      AgentRow next = agent;
      next.phase = AgentPhase::kConnected;
      next.reprotected = false;
      changes.Add(Put<AgentRow>{next});
      changes.Add(Erase<InventoryStatus>{id});
    }
  }
  return changes;
}

EntryChanges EndTasksOfLostAgents(const EntryBoard& board, const Now& now) {
  std::vector<TaskDecision> decisions;
  for (const auto& [id, tasks] : board.sent_by_agent) {
    const AgentRow* agent = board.agents.Find(id);
    const bool lost =
        agent == nullptr ||
        (agent->phase == AgentPhase::kLost &&
         agent->lost_at + board.settings.agent_timeout <= now.boot);
    if (!lost) continue;
    for (const TaskId& task : tasks) {
      decisions.push_back({task, Unknown{"its agent was lost while it ran"}});
    }
  }
  return FinishTasks(board, decisions);
}

EntryChanges SendPeerHeartbeats(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role == Role::kMember) return changes;
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.empty()) continue;
    if (peer.last_sent_at + board.settings.peer_heartbeat > now.boot) continue;
    PeerRow next = peer;
    next.last_sent_at = now.boot;
    changes.Add(Put<PeerRow>{next});
    changes.Add(SendToPeer{*peer.links.begin(),
                           PeerHeartbeat{board.authority.generation}});
    changes.Add(Count{Counter::kHeartbeatsSent});
    changes.Add(Count{Counter::kMessagesToPeers});
  }
  return changes;
}

bool OwesNothing(const EntryBoard& board, const Now& now) {
  if (!board.calls.empty()) return false;
  // Without the store nobody can be named; a takeover follows later.
  if (board.stopping_since + board.settings.stop_timeout <= now.boot) {
    return true;
  }
  if (board.authority.role == Role::kMember) return true;
  // Without another member there is nobody to hand over to.
  const auto& members = board.table.table.members;
  const bool alone =
      members.size() == 1 && IsMember(board.table.table, board.settings.id);
  return alone && board.waiters.empty() && board.open_by_deadline.empty();
}

const PeerRow* FindPeerByLink(const EntryBoard& board, LinkId link) {
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.count(link) != 0) return &peer;
  }
  return nullptr;
}

}  // namespace dottereltrack
