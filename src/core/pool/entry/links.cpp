#include "core/pool/entry/links.h"

#include <algorithm>
#include <utility>

#include "core/pool/entry/entry_load.h"
#include "core/pool/link_subset.h"

namespace dottereltrack::pool {
namespace {

std::vector<Endpoint> KnownEntriesOf(const EntryBoard& board) {
  std::vector<Endpoint> entries{board.settings.address};
  for (const auto& [address, peer] : board.peers) entries.push_back(address);
  return entries;
}

EntryHello MakeHello(const EntryBoard& board) {
  return {board.settings.id, KnownEntriesOf(board), {}};
}

// Returns the tasks whose runs were lost with an earlier link of the minion to
// the waiting state, since these runs have ended.
void ReleaseLostRuns(const EntryBoard& board, const std::string& minion,
                     EntryChanges* changes) {
  for (const TaskKey& key : board.lost_tasks) {
    const TaskRow& task = *board.tasks.Find(key);
    if (task.minion != minion || task.minion.empty()) continue;
    TaskRow waiting = task;
    waiting.state = TaskState::kWaiting;
    changes->Add(Put<TaskRow>{waiting});
  }
}

Decision AgentDecision(const AgentRow& agent, std::string event) {
  return {Severity::kStateChange,
          std::move(event),
          0,
          {{"minion", agent.hello->minion},
           {"service", agent.hello->service},
           {"data_centre", agent.hello->data_centre}},
          {{"cpu_millis", agent.hello->capacity.cpu_millis},
           {"accepting", agent.load.accepting ? 1 : 0}}};
}

}  // namespace

EntryChanges RecordLinkActivity(const EntryBoard& board, LinkId link,
                                const Now& now) {
  EntryChanges changes;
  const LinkRow* known = board.links.Find(link);
  LinkRow row =
      known == nullptr ? LinkRow{link, {}, now.boot, now.boot} : *known;
  row.last_received_at = now.boot;
  changes.Add(Put<LinkRow>{row});
  return changes;
}

EntryChanges RecordLinkSend(const EntryBoard& board, LinkId link,
                            const Now& now) {
  EntryChanges changes;
  const LinkRow* known = board.links.Find(link);
  // All messages of a turn are sent together.
  if (known == nullptr || known->last_sent_at == now.boot) return changes;
  LinkRow row = *known;
  row.last_sent_at = now.boot;
  changes.Add(Put<LinkRow>{std::move(row)});
  return changes;
}

EntryChanges HandleAgentHello(const EntryBoard& board, LinkId link,
                              const AgentHello& message, const Now&) {
  EntryChanges changes;
  const AgentRow* known = board.agents.Find(link);
  AgentRow agent = known == nullptr ? AgentRow{} : *known;
  agent.link = link;
  if (agent.hello->minion != message.minion) agent.load = LoadReport{};
  AgentHello hello = message;
  hello.crashes.clear();
  agent.hello = std::move(hello);
  if (known != nullptr && agent == *known) return changes;
  changes.Add(Put<AgentRow>{agent});
  if (known == nullptr) changes.Add(SendMessage{link, MakeHello(board)});
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
  std::erase_if(agent.unreported_starts, [&](const UnreportedStart& it) {
    return it.sequence <= message.handled_starts;
  });
  agent.free = message.free;
  for (const UnreportedStart& it : agent.unreported_starts) {
    agent.free -= it.needs;
  }
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
  changes.Add(Erase<ConfigPeer>{link});
  changes.Add(Erase<DemandRow>{link});
  const AgentRow* agent = board.agents.Find(link);
  if (agent != nullptr) {
    Decision decision = AgentDecision(*agent, "agent_lost");
    const LinkRow* row = board.links.Find(link);
    if (row != nullptr) {
      decision.numbers.emplace_back(
          "heard_ms_ago", ToMilliseconds(now.boot - row->last_received_at));
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
    lost.lost_run_ends_by = now.boot + board.settings.max_lost_run_time;
    changes.Add(Put<TaskRow>{lost});
  }
  for (const auto& [address, peer] : board.peers) {
    if (peer.link != link) continue;
    changes.Add(Put<KnownEntry>{
        WithLinkClosed(peer, board.settings.dial_retry_delay, now)});
    changes.Add(Decision{Severity::kStateChange,
                         "entry_lost",
                         0,
                         {{"address", address.host}},
                         {}});
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
      WithDialResult(*known, e.link, board.settings.dial_retry_delay, now)});
  if (!e.link) return changes;
  changes.Add(Put<LinkRow>{{*e.link, e.address, now.boot, now.boot}});
  EntryHello hello = MakeHello(board);
  hello.crashes = MakeCrashReports(board.crashes, now);
  hello.wants_accepted_jobs = true;
  changes.Add(SendMessage{*e.link, std::move(hello)});
  changes.Add(Decision{Severity::kStateChange,
                       "entry_known",
                       0,
                       {{"address", e.address.host}},
                       {}});
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
    if (now.boot - link.last_received_at < board.settings.link_timeout) {
      continue;
    }
    changes.Add(AbortLink{id});
  }
  return changes;
}

EntryChanges AbortAllLinks(const EntryBoard& board, milliseconds pause,
                           const Now& now) {
  EntryChanges changes;
  changes.Add(SetPausedUntil{now.boot});
  for (const auto& [id, link] : board.links) changes.Add(AbortLink{id});
  changes.Add(Decision{
      Severity::kStateChange, "paused", 0, {}, {{"pause_ms", pause.count()}}});
  return changes;
}

EntryChanges DialPeers(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const DialPlan plan = PlanDials(
      board.peers, {board.settings.id, board.settings.max_entry_links}, now);
  for (const Endpoint& address : plan.remove) {
    changes.Add(Erase<KnownEntry>{address});
  }
  for (const KnownEntry& peer : plan.dial) {
    changes.Add(Put<KnownEntry>{peer});
    changes.Add(DialPeer{peer.address});
  }
  for (const LinkId link : plan.surplus) changes.Add(AbortLink{link});
  return changes;
}

EntryChanges PingIdleLinks(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const EntrySettings& settings = board.settings;
  const bool is_saving =
      WantedReportInterval(board.agents.size(), board.overload.is_overloaded,
                           settings)
          .count() > 0;
  for (const auto& [id, link] : board.links) {
    // The owner of a forwarded job waits for less than link_timeout.
    const bool may_save = is_saving && !board.offers.Contains(id);
    const milliseconds interval =
        may_save ? settings.saving_ping_interval : settings.ping_interval;
    if (now.boot - link.last_sent_at < interval) continue;
    LinkRow row = link;
    row.last_sent_at = now.boot;
    changes.Add(Put<LinkRow>{row});
    changes.Add(SendMessage{id, Ping{}});
  }
  return changes;
}

}  // namespace dottereltrack::pool
