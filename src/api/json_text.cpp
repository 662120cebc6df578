#include "api/json_text.h"

#include <algorithm>
#include <utility>

#include "json/bounded_json.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

std::string LineAndColumn(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte == 0 ? 0 : byte - 1);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " +
         std::to_string(before.size() - line_start + 1);
}

}  // namespace

std::string ToJsonText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

ApiResult<json> ParseObject(std::string_view body) {
  auto value = ParseBoundedJson(body);
  if (!value) {
    const JsonError& error = value.error();
    if (error.kind != JsonErrorKind::kMalformed) {
      return InvalidRequest(error.message);
    }
    return InvalidRequest("the body is not JSON at " +
                          LineAndColumn(body, error.byte) +
                          "; send one JSON object in UTF-8");
  }
  if (value.value().is_object()) return std::move(value.value());
  return InvalidRequest(std::string("the body is a JSON ") +
                        value.value().type_name() + "; send one JSON object");
}

bool IsUtf8(const std::string& bytes) {
  try {
    json(bytes).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace dottereltrack
