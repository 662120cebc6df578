#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/settings/fault.h"

namespace dottereltrack {

// A settings file as read: one JSON object with comments.
struct SettingsDocument {
  nlohmann::json values = nlohmann::json::object();
  // Line of each top-level key.
  std::map<std::string, std::size_t> lines;
};

// Reads the text. Syntax errors and repeated keys are added to the faults.
SettingsDocument ReadDocument(std::string_view text,
                              std::vector<SettingsFault>* faults);

// Line of a key; 0 if the document lacks it.
std::size_t LineOf(const SettingsDocument& document, const std::string& key);

}  // namespace dottereltrack
