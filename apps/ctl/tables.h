#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dottereltrack {

// Columns aligned by spaces, the first row being the heading.
std::string RenderColumns(const std::vector<std::vector<std::string>>& rows);

// The replies of an entry for people. The arguments are the JSON of GET
// /v1/status, GET /v1/config, an answer, and an error.
std::string StatusText(const nlohmann::json& status);
std::string ConfigText(const nlohmann::json& config);
std::string AnswerText(const nlohmann::json& answer);
std::string ErrorText(const nlohmann::json& error);

}  // namespace dottereltrack
