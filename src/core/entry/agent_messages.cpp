#include "core/entry/agent_messages.h"

#include <algorithm>

namespace dottereltrack {
namespace {

// A message sent less than this after the newest send mark gets no mark of its
// own; its acknowledgement counts from the earlier mark. This bounds the number
// of marks and only makes the dispatcher's authority expire sooner.
constexpr milliseconds kMinSentMarkInterval{50};

}  // namespace

bool IsInRoster(const CellTable& table, AgentId agent) {
  return std::any_of(table.roster.begin(), table.roster.end(),
                     [&](const RosterAgent& it) { return it.id == agent; });
}

AgentRow AgentRowAfterSend(const AgentRow& agent, const Now& now) {
  AgentRow next = agent;
  const std::uint64_t seq = next.next_seq++;
  next.last_sent_at = now.boot;
  const bool needs_mark =
      next.unacked.empty() ||
      next.unacked.back().sent_at + kMinSentMarkInterval <= now.boot;
  if (needs_mark) next.unacked.push_back({seq, now.boot});
  return next;
}

AgentRow AgentRowAfterAck(const AgentRow& agent, const AgentAck& ack) {
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

bool CanTakeWork(const EntryBoard& board, const AgentRow& agent) {
  return agent.phase == AgentPhase::kFenced && !agent.leaving &&
         !agent.records_transferred && StaysInRoster(board, agent.id);
}

std::string RackOf(const MinionDescription& minion) {
  return minion.rack.empty() ? "minion:" + minion.name : minion.rack;
}

}  // namespace dottereltrack
