#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "api/reply.h"

namespace dottereltrack {

// One line of JSON. Bytes that are not UTF-8 are replaced.
std::string ToJsonText(const nlohmann::json& value);

// Parses a body that must be one JSON object. The refusal names the place of a
// syntax error.
ApiResult<nlohmann::json> ParseObject(std::string_view body);

// Whether the bytes can stand in a JSON text as they are.
bool IsUtf8(const std::string& bytes);

}  // namespace dottereltrack
