#include "core/entry/membership.h"

#include <algorithm>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/record_transfer.h"

namespace dottereltrack {
namespace {

// Minimum time after a takeover before a member that cannot reach the new
// dispatcher takes over. Without it, two entries that have lost only the
// connection to each other would alternate as fast as the store can write.
constexpr milliseconds kMinTenure{1'000};

Member OwnMember(const EntrySettings& settings) {
  return {settings.id, settings.peer_address, settings.data_centre};
}

CellTable InitialTable(const EntrySettings& settings) {
  CellTable table;
  table.generation = 1;
  table.dispatcher = settings.id;
  table.members.push_back(OwnMember(settings));
  return table;
}

bool IsIdOfReplacedProcess(const EntryBoard& board, EntryId id) {
  const auto& members = board.stored_table.table.members;
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.id == id && IsReplacedProcess(board, it);
  });
}

// Rank among the members that can replace the dispatcher; 0 takes over first.
std::size_t SuccessorRank(const CellTable& table, EntryId id) {
  return std::count_if(table.members.begin(), table.members.end(),
                       [&](const Member& it) {
                         return it.id < id && it.id != table.dispatcher;
                       });
}

bool ShouldTakeOver(const EntryBoard& board, const Now& now) {
  const CellTable& table = board.stored_table.table;
  if (board.stopping || table.dispatcher == board.settings.id) return false;
  if (!IsMember(table, board.settings.id)) return false;
  if (board.authority.seen_since + kMinTenure > now.boot) return false;
  if (IsIdOfReplacedProcess(board, table.dispatcher)) return true;
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

// An entry that cannot reach the dispatcher adds itself to the members at most
// once per member timeout, because the dispatcher removes it again.
bool MayJoin(const EntryBoard& board, const Now& now) {
  const PeerRow* peer = board.peers.Find(board.stored_table.table.dispatcher);
  if (peer != nullptr && !peer->links.empty()) return true;
  const BootTime joined_at = board.store.joined_at;
  return joined_at == BootTime{0} ||
         joined_at + board.settings.member_timeout <= now.boot;
}

void AddReadyAgents(const EntryBoard& board, CellTable* table) {
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

void RemoveUnreachableMembers(const EntryBoard& board, const Now& now,
                              CellTable* table) {
  const auto must_be_removed = [&](const Member& member) {
    if (member.id == board.settings.id) return false;
    if (IsReplacedProcess(board, member)) return true;
    const PeerRow* peer = board.peers.Find(member.id);
    return peer != nullptr && peer->links.empty() &&
           peer->lost_at + board.settings.member_timeout <= now.boot;
  };
  std::erase_if(table->members, must_be_removed);
}

void UpdateTwoRacksSince(const Now& now, CellTable* table) {
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

// The member to which a stopping dispatcher hands over; the dispatcher itself
// if it is connected to no other member.
EntryId SuccessorOf(const EntryBoard& board) {
  for (const Member& member : board.stored_table.table.members) {
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

}  // namespace

bool IsMember(const CellTable& table, EntryId id) {
  return std::any_of(table.members.begin(), table.members.end(),
                     [&](const Member& it) { return it.id == id; });
}

bool IsReplacedProcess(const EntryBoard& board, const Member& member) {
  return member.id != board.settings.id &&
         member.peer_address == board.settings.peer_address;
}

std::optional<CellTable> DesiredTable(const EntryBoard& board, const Now& now) {
  if (!board.store.table_known) return std::nullopt;
  if (board.stored_table.revision == 0) {
    if (board.stopping) return std::nullopt;
    return InitialTable(board.settings);
  }
  CellTable table = board.stored_table.table;
  const bool is_joining =
      !IsMember(table, board.settings.id) && !board.stopping;
  if (is_joining && MayJoin(board, now)) {
    table.members.push_back(OwnMember(board.settings));
  }
  if (ShouldTakeOver(board, now)) {
    ++table.generation;
    table.dispatcher = board.settings.id;
  } else if (board.authority.role != Role::kMember &&
             table.dispatcher == board.settings.id) {
    AddReadyAgents(board, &table);
    RemoveTransferredAgents(board, now, &table);
    RemoveUnreachableMembers(board, now, &table);
    RemoveConfirmedDead(board, now, &table);
    ExpireLostAgents(now, &table);
    UpdateTwoRacksSince(now, &table);
    if (board.stopping) HandOver(board, &table);
  }
  if (table == board.stored_table.table) return std::nullopt;
  return table;
}

bool CanExit(const EntryBoard& board, const Now& now) {
  if (!board.open_calls.empty()) return false;
  // Handing over is impossible while the store is down. After this timeout the
  // entry exits, and another member takes over later.
  if (board.stopping_since + board.settings.stop_timeout <= now.boot) {
    return true;
  }
  if (board.authority.role == Role::kMember) return true;
  // Without another member there is nobody to hand over to.
  const auto& members = board.stored_table.table.members;
  const bool is_only_member =
      members.size() == 1 &&
      IsMember(board.stored_table.table, board.settings.id);
  return is_only_member && board.waiters.empty() &&
         board.open_jobs_by_deadline.empty();
}

}  // namespace dottereltrack
