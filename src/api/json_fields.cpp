#include "api/json_fields.h"

namespace dottereltrack {
namespace {

constexpr std::size_t kMaxShownBytes = 60;

}  // namespace

std::string WrongValue(const std::string& path, const nlohmann::json& value,
                       const std::string& expected) {
  std::string shown =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (shown.size() > kMaxShownBytes) {
    shown = shown.substr(0, kMaxShownBytes) + "...";
  }
  return "'" + path + "' is " + shown + "; use " + expected;
}

std::string MemberPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

std::string ReadNumber(const nlohmann::json& value, const std::string& path,
                       std::int64_t min, std::int64_t max, std::int64_t* n) {
  const std::string expected = "a whole number from " + std::to_string(min) +
                               " to " + std::to_string(max);
  if (!value.is_number_integer()) return WrongValue(path, value, expected);
  const bool too_large =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(max);
  if (too_large || value.get<std::int64_t>() < min ||
      value.get<std::int64_t>() > max) {
    return WrongValue(path, value, expected);
  }
  *n = value.get<std::int64_t>();
  return {};
}

std::string ReadText(const nlohmann::json& value, const std::string& path,
                     std::size_t max_bytes, std::string* text) {
  if (value.is_string()) {
    const auto& found = value.get_ref<const std::string&>();
    if (!found.empty() && found.size() <= max_bytes) {
      *text = found;
      return {};
    }
  }
  return WrongValue(path, value,
                    "a text of 1 to " + std::to_string(max_bytes) + " bytes");
}

}  // namespace dottereltrack
