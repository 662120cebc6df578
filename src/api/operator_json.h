#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "api/reply.h"
#include "core/cell.h"

namespace dottereltrack {

// Body of PUT /v1/config, which replaces the whole configuration.
struct ConfigChange {
  std::uint64_t expected_version = 0;
  CellConfig config;
  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

ApiResult<ConfigChange> ParseConfigChange(std::string_view body);

// Parses the body of POST /v1/confirm-dead: a list of agent ids as shown by
// GET /v1/status.
ApiResult<std::vector<AgentId>> ParseConfirmDead(std::string_view body);

// Body of PUT /v1/log-level: the names of a program part and of its new log
// level.
struct LogLevelChange {
  std::string part;
  std::string level;
  friend bool operator==(const LogLevelChange&,
                         const LogLevelChange&) = default;
};

ApiResult<LogLevelChange> ParseLogLevelChange(std::string_view body);

// Renders the configuration and its version for GET /v1/config.
ApiReply RenderConfig(const StoredConfig& config);

// Builds the reply to an operator's request.
ApiReply RenderOperatorReply(
    const std::variant<StoredConfig, StoredTable, Refusal>& reply);

// Whether the Authorization header carries the operator token. The
// comparison time does not depend on where the texts differ, so that response
// times do not reveal the token.
bool IsAuthorized(const std::string& header, const std::string& token);

}  // namespace dottereltrack
