#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "core/cell.h"

namespace dottereltrack {

nlohmann::json ToJson(const CellConfig& config);
nlohmann::json ToJson(const StoredTable& table);

}  // namespace dottereltrack
