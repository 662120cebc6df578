#include "api/status_json.h"

#include <algorithm>

#include "api/cell_json.h"
#include "api/json_text.h"
#include "core/entry/authority.h"
#include "core/entry/placement.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Returns the labels that selectors match: the announced labels with the
// operators' overrides applied.
json EffectiveLabels(const CellConfig& config,
                     const MinionDescription& minion) {
  json labels(minion.labels);
  const auto it = config.label_overrides.find(minion.name);
  if (it == config.label_overrides.end()) return labels;
  for (const auto& [label, value] : it->second) labels[label] = value;
  return labels;
}

json AgentStatus(const EntryBoard& board, const AgentRow& agent) {
  const auto sent = board.sent_tasks_by_agent.find(agent.id);
  const MinionHealth* health = board.minion_health.Find(agent.minion.name);
  return {
      {"agent", ToHex(agent.id.value)},
      {"phase", ToString(agent.phase)},
      {"minion", agent.minion.name},
      {"data_centre", agent.minion.data_centre},
      {"rack", agent.minion.rack},
      {"labels", EffectiveLabels(board.stored_config.config, agent.minion)},
      {"slots", agent.minion.slots},
      {"in_progress",
       sent == board.sent_tasks_by_agent.end() ? 0 : sent->second.size()},
      {"draining", IsDraining(board.stored_config.config, agent.minion)},
      {"leaving", agent.leaving},
      {"ejected", health != nullptr && health->ejected},
  };
}

json PeerStatus(const PeerRow& peer, const Now& now) {
  const BootTime silence = now.boot - peer.last_heard_at;
  return {{"entry", ToHex(peer.id.value)},
          {"connected", !peer.links.empty()},
          {"silence_ms",
           std::chrono::duration_cast<milliseconds>(silence).count()}};
}

std::size_t CountOpenJobs(const EntryBoard& board) {
  return static_cast<std::size_t>(
      std::count_if(board.jobs.begin(), board.jobs.end(), [](const auto& row) {
        const JobState state = row.second.state;
        return state != JobState::kComplete && state != JobState::kFailed;
      }));
}

}  // namespace

const char* ToString(Role role) {
  switch (role) {
    case Role::kMember:
      return "member";
    case Role::kTakingOver:
      return "taking_over";
    case Role::kDispatcher:
      return "dispatcher";
  }
  return "unknown";
}

const char* ToString(AgentPhase phase) {
  switch (phase) {
    case AgentPhase::kConnected:
      return "connected";
    case AgentPhase::kFencing:
      return "fencing";
    case AgentPhase::kFenced:
      return "fenced";
    case AgentPhase::kLost:
      return "lost";
  }
  return "unknown";
}

ApiReply RenderStatus(const EntryBoard& board, const Now& now) {
  json agents = json::array();
  for (const auto& [id, agent] : board.agents) {
    agents.push_back(AgentStatus(board, agent));
  }
  json peers = json::array();
  for (const auto& [id, peer] : board.peers) {
    peers.push_back(PeerStatus(peer, now));
  }
  json store = {{"table_known", board.store.table_known},
                {"failures", board.store.failures},
                {"write_undecided", board.store.write_undecided}};
  ApiReply reply;
  reply.body = ToJsonText({
      {"entry", ToHex(board.settings.id.value)},
      {"data_centre", board.settings.data_centre},
      {"role", ToString(board.authority.role)},
      {"has_authority", HasAuthority(board, now)},
      {"stopping", board.stopping},
      {"table", ToJson(board.stored_table)},
      {"config_version", board.stored_config.config.version},
      {"store", std::move(store)},
      {"open_jobs", CountOpenJobs(board)},
      {"open_calls", board.open_calls.size()},
      {"queued_tasks", board.queued_tasks},
      {"in_progress_by_team", json(board.in_progress_by_team)},
      {"agents", std::move(agents)},
      {"peers", std::move(peers)},
  });
  return reply;
}

ApiReply RenderHealth(const EntryBoard& board) {
  ApiReply reply;
  reply.status = board.stopping ? 503 : 200;
  reply.body = ToJsonText({{"status", board.stopping ? "stopping" : "ok"}});
  return reply;
}

}  // namespace dottereltrack
