#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "api/reply.h"

namespace dottereltrack {

// Serializes to one line of JSON. Invalid UTF-8 bytes are replaced.
std::string ToJsonText(const nlohmann::json& value);

// Parses a body that must be a single JSON object. For a syntax error, the
// refusal gives the line and column.
ApiResult<nlohmann::json> ParseObject(std::string_view body);

// Whether the bytes are valid UTF-8, so that JSON can carry them as a string.
bool IsUtf8(const std::string& bytes);

}  // namespace dottereltrack
