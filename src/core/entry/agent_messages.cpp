#include "core/entry/agent_messages.h"

#include <algorithm>

namespace dottereltrack {
namespace {

// Marks closer together than this are merged into the earlier one, which only
// makes the authority expire sooner.
constexpr milliseconds kMarkSpacing{50};

}  // namespace

bool IsInRoster(const CellTable& table, AgentId agent) {
  return std::any_of(table.roster.begin(), table.roster.end(),
                     [&](const RosterAgent& it) { return it.id == agent; });
}

AgentRow AfterSend(const AgentRow& agent, const Now& now) {
  AgentRow next = agent;
  const std::uint64_t seq = next.next_seq++;
  next.last_sent_at = now.boot;
  const bool spaced = next.unacked.empty() ||
                      next.unacked.back().sent_at + kMarkSpacing <= now.boot;
  if (spaced) next.unacked.push_back({seq, now.boot});
  return next;
}

AgentRow AfterAck(const AgentRow& agent, const AgentAck& ack) {
  AgentRow next = agent;
  if (ack.fence != agent.fence) return next;
  auto it = next.unacked.begin();
  while (it != next.unacked.end() && it->seq <= ack.seq) {
    next.acked_sent_at = std::max(next.acked_sent_at, it->sent_at);
    ++it;
  }
  next.unacked.erase(next.unacked.begin(), it);
  return next;
}

const AgentRow* FindAgentByLink(const EntryBoard& board, LinkId link) {
  const auto it = board.agent_by_link.find(link);
  return it == board.agent_by_link.end() ? nullptr
                                         : board.agents.Find(it->second);
}

bool IsFencedMember(const EntryBoard& board, const AgentRow& agent) {
  return agent.phase == AgentPhase::kFenced &&
         board.roster_ids.count(agent.id) != 0;
}

bool StaysInRoster(const EntryBoard& board, AgentId agent) {
  const auto& pending = board.store.pending_table;
  return board.roster_ids.count(agent) != 0 &&
         (!pending || IsInRoster(*pending, agent));
}

bool IsUsable(const EntryBoard& board, const AgentRow& agent) {
  return agent.phase == AgentPhase::kFenced && !agent.leaving &&
         !agent.records_transferred && StaysInRoster(board, agent.id);
}

std::string RackOf(const MinionDescription& minion) {
  return minion.rack.empty() ? "minion:" + minion.name : minion.rack;
}

}  // namespace dottereltrack
