#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "api/reply.h"
#include "core/cell.h"

namespace dottereltrack {

// The body of PUT /v1/config.
struct ConfigChange {
  std::uint64_t expected_version = 0;
  CellConfig config;
  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

ApiResult<ConfigChange> ParseConfigChange(std::string_view body);

// The body of POST /v1/confirm-dead: agents by the ids of GET /v1/status.
ApiResult<std::vector<AgentId>> ParseConfirmDead(std::string_view body);

// The configuration in the form that PUT takes, with its version.
ApiReply RenderConfig(const StoredConfig& config);

// The reply to an operator's call.
ApiReply RenderOperatorReply(
    const std::variant<StoredConfig, StoredTable, Refusal>& reply);

// Whether the Authorization header carries the operators' token. The time that
// it takes does not depend on where the texts differ.
bool IsAuthorized(const std::string& header, const std::string& token);

}  // namespace dottereltrack
