#include "api/operator_json.h"

#include <openssl/crypto.h>

#include <limits>
#include <utility>

#include "api/cell_json.h"
#include "api/json_fields.h"
#include "api/json_text.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxLabelBytes = 128;
constexpr std::int64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

std::string ReadMaxInProgress(const json& value, const std::string& path,
                              TeamConfig* team) {
  std::int64_t n = 0;
  std::string error_message = ReadInteger(value, path, 0, kMaxUint32, &n);
  team->max_in_progress = static_cast<std::uint32_t>(n);
  return error_message;
}

std::string ReadWeight(const json& value, const std::string& path,
                       TeamConfig* team) {
  std::int64_t n = 0;
  std::string error_message = ReadInteger(value, path, 1, kMaxUint32, &n);
  team->weight = static_cast<std::uint32_t>(n);
  return error_message;
}

const std::vector<JsonField<TeamConfig>>& TeamFields() {
  static const std::vector<JsonField<TeamConfig>> fields = {
      {"max_in_progress", false, ReadMaxInProgress},
      {"weight", false, ReadWeight}};
  return fields;
}

std::string ReadExpectedVersion(const json& value, const std::string& path,
                                ConfigChange* change) {
  std::int64_t n = 0;
  std::string error_message =
      ReadInteger(value, path, 0, std::numeric_limits<std::int64_t>::max(), &n);
  change->expected_version = static_cast<std::uint64_t>(n);
  return error_message;
}

std::string ReadTeams(const json& value, const std::string& path,
                      ConfigChange* change) {
  if (!value.is_object()) {
    return InvalidValueMessage(path, value, "an object of teams");
  }
  for (const auto& item : value.items()) {
    const std::string team_path = FieldPath(path, item.key());
    std::string name;
    std::string error_message = ReadBoundedString(
        json(item.key()), path + " (a name)", kMaxNameBytes, &name);
    if (!error_message.empty()) return error_message;
    TeamConfig team;
    error_message = ReadFields(item.value(), team_path, TeamFields(), &team);
    if (!error_message.empty()) return error_message;
    change->config.teams.emplace(item.key(), team);
  }
  return {};
}

std::string ReadLabels(const json& value, const std::string& path,
                       std::map<std::string, std::string>* labels) {
  if (!value.is_object()) {
    return InvalidValueMessage(path, value, "an object of labels and values");
  }
  for (const auto& item : value.items()) {
    std::string error_message =
        ReadBoundedString(item.value(), FieldPath(path, item.key()),
                          kMaxLabelBytes, &(*labels)[item.key()]);
    if (!error_message.empty()) return error_message;
  }
  return {};
}

std::string ReadLabelOverrides(const json& value, const std::string& path,
                               ConfigChange* change) {
  if (!value.is_object()) {
    return InvalidValueMessage(path, value, "an object of minions and labels");
  }
  for (const auto& item : value.items()) {
    std::string error_message =
        ReadLabels(item.value(), FieldPath(path, item.key()),
                   &change->config.label_overrides[item.key()]);
    if (!error_message.empty()) return error_message;
  }
  return {};
}

std::string ReadDrainedMinions(const json& value, const std::string& path,
                               ConfigChange* change) {
  if (!value.is_array()) {
    return InvalidValueMessage(path, value, "a list of minions");
  }
  for (const json& item : value) {
    std::string name;
    std::string error_message =
        ReadBoundedString(item, path, kMaxLabelBytes, &name);
    if (!error_message.empty()) return error_message;
    change->config.drained_minions.push_back(std::move(name));
  }
  return {};
}

// All fields are required, so that a request that omits one does not erase what
// another operator has set.
const std::vector<JsonField<ConfigChange>>& ConfigFields() {
  static const std::vector<JsonField<ConfigChange>> fields = {
      {"expected_version", true, ReadExpectedVersion},
      {"teams", true, ReadTeams},
      {"label_overrides", true, ReadLabelOverrides},
      {"drained_minions", true, ReadDrainedMinions}};
  return fields;
}

std::string ReadAgents(const json& value, const std::string& path,
                       std::vector<AgentId>* agents) {
  if (!value.is_array() || value.empty()) {
    return InvalidValueMessage(path, value, "a list of agent ids");
  }
  for (const json& item : value) {
    const auto id = item.is_string()
                        ? ParseHexId(item.get_ref<const std::string&>())
                        : std::nullopt;
    if (!id) {
      return InvalidValueMessage(path, item,
                                 "an id of 16 hexadecimal digits, as "
                                 "GET /v1/status shows it");
    }
    agents->push_back(AgentId{*id});
  }
  return {};
}

ApiReply Render(const StoredConfig& config) { return RenderConfig(config); }

ApiReply Render(const StoredTable& table) {
  ApiReply reply;
  reply.body = ToJsonText(ToJson(table));
  return reply;
}

ApiReply Render(const Refusal& refusal) { return RenderRefusal(refusal); }

}  // namespace

ApiResult<ConfigChange> ParseConfigChange(std::string_view body) {
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  ConfigChange change;
  std::string error_message =
      ReadFields(object.value(), "", ConfigFields(), &change);
  if (!error_message.empty()) return InvalidRequest(std::move(error_message));
  return change;
}

ApiResult<std::vector<AgentId>> ParseConfirmDead(std::string_view body) {
  static const std::vector<JsonField<std::vector<AgentId>>> fields = {
      {"agents", true, ReadAgents}};
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  std::vector<AgentId> agents;
  std::string error_message = ReadFields(object.value(), "", fields, &agents);
  if (!error_message.empty()) return InvalidRequest(std::move(error_message));
  return agents;
}

ApiResult<LogLevelChange> ParseLogLevelChange(std::string_view body) {
  static const std::vector<JsonField<LogLevelChange>> fields = {
      {"part", true,
       [](const json& value, const std::string& path, LogLevelChange* change) {
         return ReadBoundedString(value, path, kMaxNameBytes, &change->part);
       }},
      {"level", true,
       [](const json& value, const std::string& path, LogLevelChange* change) {
         return ReadBoundedString(value, path, kMaxNameBytes, &change->level);
       }}};
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  LogLevelChange change;
  std::string error_message = ReadFields(object.value(), "", fields, &change);
  if (!error_message.empty()) return InvalidRequest(std::move(error_message));
  return change;
}

ApiReply RenderConfig(const StoredConfig& config) {
  ApiReply reply;
  reply.body = ToJsonText(ToJson(config.config));
  return reply;
}

ApiReply RenderOperatorReply(
    const std::variant<StoredConfig, StoredTable, Refusal>& reply) {
  return std::visit([](const auto& it) { return Render(it); }, reply);
}

bool IsAuthorized(const std::string& header, const std::string& token) {
  const std::string expected = "Bearer " + token;
  return !token.empty() && header.size() == expected.size() &&
         CRYPTO_memcmp(header.data(), expected.data(), expected.size()) == 0;
}

}  // namespace dottereltrack
