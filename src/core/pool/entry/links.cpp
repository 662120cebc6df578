#include "core/pool/entry/links.h"

#include <algorithm>

namespace dottereltrack::pool {
namespace {

std::vector<Endpoint> KnownEntriesOf(const EntryBoard& board) {
  std::vector<Endpoint> entries{board.settings.address};
  for (const auto& [address, peer] : board.peers) entries.push_back(address);
  return entries;
}

EntryHello HelloOf(const EntryBoard& board) {
  return {board.settings.id, KnownEntriesOf(board)};
}

// Returns the tasks whose runs were lost with an earlier link of the minion to
// the waiting state, since these runs have ended.
void ReleaseLostRuns(const EntryBoard& board, const std::string& minion,
                     EntryChanges* changes) {
  for (const TaskKey& key : board.lost_tasks) {
    const TaskRow& task = *board.tasks.Find(key);
    if (task.minion != minion) continue;
    TaskRow waiting = task;
    waiting.state = TaskState::kWaiting;
    changes->Add(Put<TaskRow>{waiting});
  }
}

Decision AgentDecision(const AgentRow& agent, std::string what) {
  return {Weight::kBelief,
          std::move(what),
          0,
          {{"minion", agent.hello->minion},
           {"service", agent.hello->service},
           {"data_centre", agent.hello->data_centre}},
          {{"cpu_millis", agent.hello->capacity.cpu_millis},
           {"accepting", agent.load.accepting ? 1 : 0}}};
}

}  // namespace

EntryChanges NoteMessage(const EntryBoard& board, LinkId link, const Now& now) {
  EntryChanges changes;
  const LinkRow* known = board.links.Find(link);
  LinkRow row =
      known == nullptr ? LinkRow{link, {}, now.boot, now.boot, 0} : *known;
  row.heard_at = now.boot;
  changes.Add(Put<LinkRow>{row});
  return changes;
}

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& message, const Now&) {
  EntryChanges changes;
  const AgentRow* known = board.agents.Find(link);
  AgentRow agent = known == nullptr ? AgentRow{} : *known;
  agent.link = link;
  if (agent.hello->minion != message.minion) agent.load = LoadReport{};
  agent.hello = message;
  changes.Add(Put<AgentRow>{agent});
  if (known == nullptr) changes.Add(SendMessage{link, HelloOf(board)});
  changes.Add(AgentDecision(agent, "agent_known"));
  return changes;
}

EntryChanges HandleLoadReport(const EntryBoard& board, LinkId link,
                              const LoadReport& message, const Now&) {
  EntryChanges changes;
  const AgentRow* known = board.agents.Find(link);
  if (known == nullptr) return changes;
  AgentRow agent = *known;
  agent.load = message;
  std::erase_if(agent.unreported, [&](const UnreportedStart& it) {
    return it.sequence <= message.handled_starts;
  });
  agent.free = message.free;
  for (const UnreportedStart& it : agent.unreported) agent.free -= it.needs;
  changes.Add(Put<AgentRow>{agent});
  if (message.settled) ReleaseLostRuns(board, agent.hello->minion, &changes);
  if (message.accepting != known->load.accepting) {
    changes.Add(AgentDecision(agent, "agent_accepting_changed"));
  }
  return changes;
}

EntryChanges HandleLinkClosed(const EntryBoard& board, LinkId link,
                              const Now& now) {
  EntryChanges changes;
  changes.Add(Erase<LinkRow>{link});
  const AgentRow* agent = board.agents.Find(link);
  if (agent != nullptr) {
    Decision decision = AgentDecision(*agent, "agent_lost");
    const LinkRow* row = board.links.Find(link);
    if (row != nullptr) {
      decision.figures.emplace_back("heard_ms_ago",
                                    ToMilliseconds(now.boot - row->heard_at));
    }
    changes.Add(std::move(decision));
    changes.Add(Erase<AgentRow>{link});
  }
  for (const auto& [key, task] : board.tasks) {
    const bool has_run =
        task.state == TaskState::kPlaced || task.state == TaskState::kStopping;
    if (!has_run || task.link != link) continue;
    TaskRow lost = task;
    lost.state = TaskState::kLost;
    lost.dead_at = now.boot + board.settings.lost_run_bound;
    changes.Add(Put<TaskRow>{lost});
  }
  for (const auto& [address, peer] : board.peers) {
    if (peer.link != link) continue;
    changes.Add(
        Put<KnownEntry>{AfterClose(peer, board.settings.dial_retry, now)});
    changes.Add(Decision{
        Weight::kBelief, "entry_lost", 0, {{"address", address.host}}, {}});
  }
  return changes;
}

EntryChanges HandlePeerDialed(const EntryBoard& board, const PeerDialed& e,
                              const Now& now) {
  EntryChanges changes;
  const KnownEntry* known = board.peers.Find(e.address);
  if (known == nullptr) {
    if (e.link) changes.Add(AbortLink{*e.link});
    return changes;
  }
  changes.Add(Put<KnownEntry>{
      AfterDial(*known, e.link, board.settings.dial_retry, now)});
  if (!e.link) return changes;
  changes.Add(Put<LinkRow>{{*e.link, e.address, now.boot, now.boot, 0}});
  changes.Add(SendMessage{*e.link, HelloOf(board)});
  changes.Add(Decision{
      Weight::kBelief, "entry_known", 0, {{"address", e.address.host}}, {}});
  return changes;
}

EntryChanges AddPeers(const EntryBoard& board,
                      const std::vector<Endpoint>& entries, EntrySource source,
                      const Now& now) {
  EntryChanges changes;
  bool is_new = false;
  for (KnownEntry& peer : MergeEntries(board.peers, entries, source, now)) {
    if (peer.address == board.settings.address) continue;
    is_new = is_new || !board.peers.Contains(peer.address);
    changes.Add(Put<KnownEntry>{std::move(peer)});
  }
  if (!is_new) return changes;
  std::vector<Endpoint> all = KnownEntriesOf(board);
  all.insert(all.end(), entries.begin(), entries.end());
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  for (const auto& [link, agent] : board.agents) {
    changes.Add(SendMessage{link, KnownEntries{all}});
  }
  return changes;
}

EntryChanges AbortSilentLinks(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [id, link] : board.links) {
    if (now.boot - link.heard_at < board.settings.link_timeout) continue;
    changes.Add(AbortLink{id});
  }
  return changes;
}

EntryChanges AbortAllLinks(const EntryBoard& board, milliseconds pause) {
  EntryChanges changes;
  for (const auto& [id, link] : board.links) changes.Add(AbortLink{id});
  changes.Add(Decision{
      Weight::kBelief, "paused", 0, {}, {{"pause_ms", pause.count()}}});
  return changes;
}

EntryChanges DialPeers(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const DialPlan plan = PlanDials(board.peers, now);
  for (const Endpoint& address : plan.forget) {
    changes.Add(Erase<KnownEntry>{address});
  }
  for (const KnownEntry& peer : plan.dial) {
    changes.Add(Put<KnownEntry>{peer});
    changes.Add(DialPeer{peer.address});
  }
  return changes;
}

EntryChanges OfferConfig(const EntryBoard& board) {
  EntryChanges changes;
  for (const auto& [id, link] : board.links) {
    if (!link.dialed || link.config_sent >= board.config.version) continue;
    LinkRow row = link;
    row.config_sent = board.config.version;
    changes.Add(Put<LinkRow>{row});
    changes.Add(
        SendMessage{id, ConfigOffer{board.config.version, board.config_text}});
  }
  return changes;
}

EntryChanges PingIdleLinks(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [id, link] : board.links) {
    if (now.boot - link.sent_at < board.settings.ping_interval) continue;
    LinkRow row = link;
    row.sent_at = now.boot;
    changes.Add(Put<LinkRow>{row});
    changes.Add(SendMessage{id, Ping{}});
  }
  return changes;
}

}  // namespace dottereltrack::pool
