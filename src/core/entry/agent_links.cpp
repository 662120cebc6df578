#include "core/entry/agent_links.h"

#include <vector>

#include "core/entry/agent_messages.h"
#include "core/entry/configuration.h"
#include "core/entry/forwarding.h"
#include "core/entry/outcomes.h"
#include "core/entry/peers.h"

namespace dottereltrack {

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
  // The agent gets no work while a pending table write might remove it from the
  // roster.
  agent.records_transferred =
      agent.records_transferred && !StaysInRoster(board, hello.agent);
  changes.Add(Put<AgentRow>{agent});
  changes.Add(Erase<RecordTransfer>{agent.id});
  changes.Add(Erase<InventoryStatus>{agent.id});
  changes.Add(SendToAgent{
      link,
      EntryHello{board.settings.id, board.stored_table, board.stored_config}});
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
  changes.Append(UnrouteCallsOnLink(board, link));
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

EntryChanges CleanUpRemovedAgents(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [id, agent] : board.agents) {
    if (StaysInRoster(board, id)) continue;
    if (board.store.pending_table) continue;
    if (agent.phase == AgentPhase::kLost) {
      const bool is_expired =
          agent.lost_at + board.settings.agent_timeout <= now.boot;
      if (is_expired) changes.Add(Erase<AgentRow>{id});
    } else if (agent.phase != AgentPhase::kConnected ||
               agent.records_transferred) {
      AgentRow next = agent;
      next.phase = AgentPhase::kConnected;
      next.records_transferred = false;
      changes.Add(Put<AgentRow>{next});
      changes.Add(Erase<InventoryStatus>{id});
    }
  }
  return changes;
}

EntryChanges EndTasksOfLostAgents(const EntryBoard& board, const Now& now) {
  std::vector<TaskDecision> decisions;
  for (const auto& [id, tasks] : board.sent_tasks_by_agent) {
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

}  // namespace dottereltrack
