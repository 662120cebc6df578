#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace dottereltrack {

// One fault of a settings file.
struct SettingsFault {
  // Empty if the fault is in the file as a whole.
  std::string key;
  // 1 for the first line; 0 if the key is not in the file.
  std::size_t line = 0;
  std::string found;
  std::string allowed;
  std::string remedy;
  friend auto operator<=>(const SettingsFault&, const SettingsFault&) = default;
};

// One line per fault: place, key, what was found, what is allowed, the remedy.
std::string RenderFaults(const std::string& file,
                         const std::vector<SettingsFault>& faults);

}  // namespace dottereltrack
