#pragma once

#include <optional>
#include <string>

namespace dottereltrack {

// Returns the content of the file, or nullopt if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace dottereltrack
