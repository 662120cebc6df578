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

std::string ReadQuota(const json& value, const std::string& path,
                      TeamConfig* team) {
  std::int64_t n = 0;
  std::string fault = ReadNumber(value, path, 0, kMaxUint32, &n);
  team->max_in_progress = static_cast<std::uint32_t>(n);
  return fault;
}

std::string ReadWeight(const json& value, const std::string& path,
                       TeamConfig* team) {
  std::int64_t n = 0;
  std::string fault = ReadNumber(value, path, 1, kMaxUint32, &n);
  team->weight = static_cast<std::uint32_t>(n);
  return fault;
}

const std::vector<JsonField<TeamConfig>>& TeamFields() {
  static const std::vector<JsonField<TeamConfig>> fields = {
      {"max_in_progress", false, ReadQuota}, {"weight", false, ReadWeight}};
  return fields;
}

std::string ReadExpectedVersion(const json& value, const std::string& path,
                                ConfigChange* change) {
  std::int64_t n = 0;
  std::string fault =
      ReadNumber(value, path, 0, std::numeric_limits<std::int64_t>::max(), &n);
  change->expected_version = static_cast<std::uint64_t>(n);
  return fault;
}

std::string ReadTeams(const json& value, const std::string& path,
                      ConfigChange* change) {
  if (!value.is_object()) {
    return WrongValue(path, value, "an object of teams");
  }
  for (const auto& item : value.items()) {
    const std::string place = MemberPath(path, item.key());
    std::string name;
    std::string fault =
        ReadText(json(item.key()), path + " (a name)", kMaxNameBytes, &name);
    if (!fault.empty()) return fault;
    TeamConfig team;
    fault = ReadFields(item.value(), place, TeamFields(), &team);
    if (!fault.empty()) return fault;
    change->config.teams.emplace(item.key(), team);
  }
  return {};
}

std::string ReadLabels(const json& value, const std::string& path,
                       std::map<std::string, std::string>* labels) {
  if (!value.is_object()) {
    return WrongValue(path, value, "an object of labels and values");
  }
  for (const auto& item : value.items()) {
    std::string fault = ReadText(item.value(), MemberPath(path, item.key()),
                                 kMaxLabelBytes, &(*labels)[item.key()]);
    if (!fault.empty()) return fault;
  }
  return {};
}

std::string ReadOverrides(const json& value, const std::string& path,
                          ConfigChange* change) {
  if (!value.is_object()) {
    return WrongValue(path, value, "an object of minions and labels");
  }
  for (const auto& item : value.items()) {
    std::string fault = ReadLabels(item.value(), MemberPath(path, item.key()),
                                   &change->config.label_overrides[item.key()]);
    if (!fault.empty()) return fault;
  }
  return {};
}

std::string ReadDrained(const json& value, const std::string& path,
                        ConfigChange* change) {
  if (!value.is_array()) return WrongValue(path, value, "a list of minions");
  for (const json& item : value) {
    std::string name;
    std::string fault = ReadText(item, path, kMaxLabelBytes, &name);
    if (!fault.empty()) return fault;
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
      {"label_overrides", true, ReadOverrides},
      {"drained_minions", true, ReadDrained}};
  return fields;
}

std::string ReadAgents(const json& value, const std::string& path,
                       std::vector<AgentId>* agents) {
  if (!value.is_array() || value.empty()) {
    return WrongValue(path, value, "a list of agent ids");
  }
  for (const json& item : value) {
    const auto id = item.is_string()
                        ? ParseHexId(item.get_ref<const std::string&>())
                        : std::nullopt;
    if (!id) {
      return WrongValue(path, item,
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
  std::string fault = ReadFields(object.value(), "", ConfigFields(), &change);
  if (!fault.empty()) return InvalidRequest(std::move(fault));
  return change;
}

ApiResult<std::vector<AgentId>> ParseConfirmDead(std::string_view body) {
  static const std::vector<JsonField<std::vector<AgentId>>> fields = {
      {"agents", true, ReadAgents}};
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  std::vector<AgentId> agents;
  std::string fault = ReadFields(object.value(), "", fields, &agents);
  if (!fault.empty()) return InvalidRequest(std::move(fault));
  return agents;
}

ApiResult<LogLevelChange> ParseLogLevelChange(std::string_view body) {
  static const std::vector<JsonField<LogLevelChange>> fields = {
      {"part", true,
       [](const json& value, const std::string& path, LogLevelChange* change) {
         return ReadText(value, path, kMaxNameBytes, &change->part);
       }},
      {"level", true,
       [](const json& value, const std::string& path, LogLevelChange* change) {
         return ReadText(value, path, kMaxNameBytes, &change->level);
       }}};
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  LogLevelChange change;
  std::string fault = ReadFields(object.value(), "", fields, &change);
  if (!fault.empty()) return InvalidRequest(std::move(fault));
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
