#include "runtime/settings/keys.h"

#include "runtime/settings/nearest.h"

namespace dottereltrack {
namespace {

// Longer values are truncated in error messages.
constexpr std::size_t kMaxShownBytes = 80;

}  // namespace

std::string DescribeValue(const nlohmann::json& value, bool is_secret) {
  if (is_secret) {
    return std::string("a value of type ") + value.type_name() + " (not shown)";
  }
  std::string text =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text = text.substr(0, kMaxShownBytes) + "...";
  }
  return text;
}

SettingsError UnknownKeyError(const std::string& key, std::size_t line,
                              const std::vector<std::string>& known) {
  const std::string nearest = NearestName(key, known);
  return {key, line, "a key that does not exist",
          "the keys that --print-settings lists",
          "use '" + nearest + "', the nearest known key, or remove the line"};
}

std::string FormatKey(const std::string& name, const std::string& meaning,
                      const std::string& allowed, const std::string& value,
                      bool can_be_read_back, bool is_last) {
  std::string text = "  // " + meaning + " Allowed: " + allowed + ".\n";
  text += can_be_read_back ? "  " : "  // ";
  text += "\"" + name + "\": " + value;
  return text + (is_last ? "\n" : ",\n");
}

}  // namespace dottereltrack
