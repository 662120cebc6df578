#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace dottereltrack {

// One error in a settings file.
struct SettingsError {
  // Empty if the error concerns the whole file.
  std::string key;
  // Line number starting at 1; 0 if the key is not in the file.
  std::size_t line = 0;
  std::string found;
  std::string allowed;
  std::string remedy;
  friend auto operator<=>(const SettingsError&, const SettingsError&) = default;
};

// Formats one line per error: file and line, key, value found, allowed values
// and remedy.
std::string FormatSettingsErrors(const std::string& file,
                                 const std::vector<SettingsError>& errors);

}  // namespace dottereltrack
