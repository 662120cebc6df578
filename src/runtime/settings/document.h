#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/settings/settings_error.h"

namespace dottereltrack {

// A parsed settings file: one JSON object, with comments allowed.
struct SettingsDocument {
  nlohmann::json values = nlohmann::json::object();
  // Line of each top-level key.
  std::map<std::string, std::size_t> lines;
};

// Parses the text. Syntax errors and duplicate keys are appended to `errors`.
SettingsDocument ReadDocument(std::string_view text,
                              std::vector<SettingsError>* errors);

// Returns the line of a key, or 0 if the document does not contain it.
std::size_t FindKeyLine(const SettingsDocument& document,
                        const std::string& key);

}  // namespace dottereltrack
