#include "cell_store/cell_json.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Names may contain invalid UTF-8, for which json::dump throws by default.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json ToJson(const Endpoint& address) {
  return {{"host", address.host}, {"port", address.port}};
}

json ToJson(const Member& member) {
  return {{"id", ToHex(member.id.value)},
          {"peer_address", ToJson(member.peer_address)},
          {"data_centre", member.data_centre}};
}

json ToJson(const RosterAgent& agent) {
  return {{"id", ToHex(agent.id.value)},
          {"minion", agent.minion},
          {"data_centre", agent.data_centre},
          {"rack", agent.rack}};
}

json ToJson(const LostAgent& agent) {
  return {{"id", ToHex(agent.id.value)},
          {"rack", agent.rack},
          {"expires_wall_ms", agent.expires_wall_ms}};
}

template <typename T>
json ToJsonArray(const std::vector<T>& values) {
  json array = json::array();
  for (const auto& value : values) array.push_back(ToJson(value));
  return array;
}

void Read(const JsonCursor& at, Endpoint* out) {
  ReadField(at, "host", Presence::kRequired, &out->host);
  ReadField(at, "port", Presence::kRequired, &out->port);
}

// Reads a field that holds a 64-bit id.
void ReadIdField(const JsonCursor& at, const char* name, Presence presence,
                 std::uint64_t* out) {
  if (const auto field = Field(at, name, presence)) ReadHexId(*field, out);
}

void Read(const JsonCursor& at, Member* out) {
  ReadIdField(at, "id", Presence::kRequired, &out->id.value);
  if (const auto field = Field(at, "peer_address", Presence::kRequired)) {
    Read(*field, &out->peer_address);
  }
  ReadField(at, "data_centre", Presence::kOptional, &out->data_centre);
}

void Read(const JsonCursor& at, RosterAgent* out) {
  ReadIdField(at, "id", Presence::kRequired, &out->id.value);
  ReadField(at, "minion", Presence::kRequired, &out->minion);
  ReadField(at, "data_centre", Presence::kOptional, &out->data_centre);
  ReadField(at, "rack", Presence::kRequired, &out->rack);
}

void Read(const JsonCursor& at, LostAgent* out) {
  ReadIdField(at, "id", Presence::kRequired, &out->id.value);
  ReadField(at, "rack", Presence::kRequired, &out->rack);
  ReadField(at, "expires_wall_ms", Presence::kRequired, &out->expires_wall_ms);
}

void Read(const JsonCursor& at, TeamConfig* out) {
  ReadField(at, "max_in_progress", Presence::kOptional, &out->max_in_progress);
  if (const auto field = Field(at, "weight", Presence::kOptional)) {
    ReadPositive(*field, &out->weight);
  }
}

// Reads an array field of objects.
template <typename T>
void ReadList(const JsonCursor& at, const char* name, Presence presence,
              std::vector<T>* out) {
  const auto field = Field(at, name, presence);
  if (!field) return;
  ReadArray(*field, [out](const JsonCursor& element) {
    T value;
    Read(element, &value);
    out->push_back(std::move(value));
  });
}

void ReadTeams(const JsonCursor& at, std::map<std::string, TeamConfig>* out) {
  ReadObject(at, [out](const std::string& team, const JsonCursor& value) {
    Read(value, &(*out)[team]);
  });
}

void ReadLabels(const JsonCursor& at, std::map<std::string, std::string>* out) {
  ReadObject(at, [out](const std::string& label, const JsonCursor& value) {
    Read(value, &(*out)[label]);
  });
}

}  // namespace

std::string EncodeCellTable(const CellTable& table) {
  const json value = {{"generation", table.generation},
                      {"dispatcher", ToHex(table.dispatcher.value)},
                      {"members", ToJsonArray(table.members)},
                      {"roster", ToJsonArray(table.roster)},
                      {"lost", ToJsonArray(table.lost)},
                      {"two_racks_since_ms", table.two_racks_since_ms},
                      {"writer_nonce", ToHex(table.writer_nonce)}};
  return Dump(value);
}

std::string EncodeCellConfig(const CellConfig& config) {
  json teams = json::object();
  for (const auto& [name, team] : config.teams) {
    teams[name] = {{"max_in_progress", team.max_in_progress},
                   {"weight", team.weight}};
  }
  const json value = {{"version", config.version},
                      {"teams", teams},
                      {"label_overrides", config.label_overrides},
                      {"drained_minions", config.drained_minions},
                      {"writer_nonce", ToHex(config.writer_nonce)}};
  return Dump(value);
}

void ReadCellTable(const JsonCursor& at, CellTable* out) {
  ReadField(at, "generation", Presence::kRequired, &out->generation);
  ReadIdField(at, "dispatcher", Presence::kRequired, &out->dispatcher.value);
  ReadList(at, "members", Presence::kRequired, &out->members);
  ReadList(at, "roster", Presence::kRequired, &out->roster);
  ReadList(at, "lost", Presence::kOptional, &out->lost);
  ReadField(at, "two_racks_since_ms", Presence::kOptional,
            &out->two_racks_since_ms);
  ReadIdField(at, "writer_nonce", Presence::kOptional, &out->writer_nonce);
}

void ReadCellConfig(const JsonCursor& at, CellConfig* out) {
  ReadField(at, "version", Presence::kOptional, &out->version);
  if (const auto field = Field(at, "teams", Presence::kOptional)) {
    ReadTeams(*field, &out->teams);
  }
  if (const auto field = Field(at, "label_overrides", Presence::kOptional)) {
    ReadObject(*field, [out](const std::string& minion, const JsonCursor& v) {
      ReadLabels(v, &out->label_overrides[minion]);
    });
  }
  if (const auto field = Field(at, "drained_minions", Presence::kOptional)) {
    ReadArray(*field, [out](const JsonCursor& element) {
      Read(element, &out->drained_minions.emplace_back());
    });
  }
  ReadIdField(at, "writer_nonce", Presence::kOptional, &out->writer_nonce);
}

JsonResult<CellTable> ParseCellTable(std::string_view text) {
  return ParseJson<CellTable>(text, &ReadCellTable);
}

JsonResult<CellConfig> ParseCellConfig(std::string_view text) {
  return ParseJson<CellConfig>(text, &ReadCellConfig);
}

}  // namespace dottereltrack
