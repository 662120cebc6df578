#include "api/json_fields.h"

namespace dottereltrack {
namespace {

constexpr std::size_t kMaxQuotedValueBytes = 60;

}  // namespace

std::string InvalidValueMessage(const std::string& path,
                                const nlohmann::json& value,
                                const std::string& expected) {
  std::string quoted_value =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (quoted_value.size() > kMaxQuotedValueBytes) {
    quoted_value = quoted_value.substr(0, kMaxQuotedValueBytes) + "...";
  }
  return "'" + path + "' is " + quoted_value + "; use " + expected;
}

std::string FieldPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

std::string ReadInteger(const nlohmann::json& value, const std::string& path,
                        std::int64_t min, std::int64_t max, std::int64_t* n) {
  const std::string expected = "a whole number from " + std::to_string(min) +
                               " to " + std::to_string(max);
  if (!value.is_number_integer()) {
    return InvalidValueMessage(path, value, expected);
  }
  const bool too_large =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(max);
  if (too_large || value.get<std::int64_t>() < min ||
      value.get<std::int64_t>() > max) {
    return InvalidValueMessage(path, value, expected);
  }
  *n = value.get<std::int64_t>();
  return {};
}

std::string ReadBoundedString(const nlohmann::json& value,
                              const std::string& path, std::size_t max_bytes,
                              std::string* text) {
  if (value.is_string()) {
    const auto& found = value.get_ref<const std::string&>();
    if (!found.empty() && found.size() <= max_bytes) {
      *text = found;
      return {};
    }
  }
  return InvalidValueMessage(
      path, value, "a text of 1 to " + std::to_string(max_bytes) + " bytes");
}

}  // namespace dottereltrack
