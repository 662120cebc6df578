#include "api/cell_json.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

json ToJson(const Member& member) {
  return {{"entry", ToHex(member.id.value)},
          {"address", member.peer_address.host + ":" +
                          std::to_string(member.peer_address.port)},
          {"data_centre", member.data_centre}};
}

json ToJson(const RosterAgent& agent) {
  return {{"agent", ToHex(agent.id.value)},
          {"minion", agent.minion},
          {"data_centre", agent.data_centre},
          {"rack", agent.rack}};
}

json ToJson(const LostAgent& agent) {
  return {{"agent", ToHex(agent.id.value)},
          {"rack", agent.rack},
          {"expires_wall_ms", agent.expires_wall_ms}};
}

template <typename Row>
json ToJsonArray(const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows) list.push_back(ToJson(row));
  return list;
}

}  // namespace

json ToJson(const CellConfig& config) {
  json teams = json::object();
  for (const auto& [name, team] : config.teams) {
    teams[name] = {{"max_in_progress", team.max_in_progress},
                   {"weight", team.weight}};
  }
  return {{"version", config.version},
          {"teams", std::move(teams)},
          {"label_overrides", json(config.label_overrides)},
          {"drained_minions", json(config.drained_minions)}};
}

json ToJson(const StoredTable& table) {
  return {{"revision", table.revision},
          {"generation", table.table.generation},
          {"dispatcher", ToHex(table.table.dispatcher.value)},
          {"members", ToJsonArray(table.table.members)},
          {"roster", ToJsonArray(table.table.roster)},
          {"lost", ToJsonArray(table.table.lost)}};
}

}  // namespace dottereltrack
