#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dottereltrack {

// Aligns the columns with spaces. The first row is the header.
std::string FormatColumns(const std::vector<std::vector<std::string>>& rows);

// Format an entry's responses as human-readable text. The arguments are the
// JSON of GET /v1/status, of GET /v1/config, of a job's answer and of an error.
std::string FormatStatus(const nlohmann::json& status);
std::string FormatConfig(const nlohmann::json& config);
std::string FormatAnswer(const nlohmann::json& answer);
std::string FormatError(const nlohmann::json& error);

}  // namespace dottereltrack
