#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "core/cell.h"

namespace dottereltrack {

nlohmann::json ToJson(const CellConfig& config);
nlohmann::json ToJson(const StoredTable& table);

// Parses an id of a process: 16 hexadecimal digits.
std::optional<std::uint64_t> ParseProcessId(std::string_view text);

}  // namespace dottereltrack
