#pragma once

#include <optional>
#include <string>

namespace dottereltrack {

// The whole file; nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace dottereltrack
