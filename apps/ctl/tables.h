#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dottereltrack {

// Aligns the columns with spaces. The first row is the header.
std::string RenderColumns(const std::vector<std::vector<std::string>>& rows);

// Format an entry's responses as human-readable text. The arguments are the
// JSON of GET /v1/status, of GET /v1/config, of a job's answer and of an error.
std::string StatusText(const nlohmann::json& status);
std::string ConfigText(const nlohmann::json& config);
std::string AnswerText(const nlohmann::json& answer);
std::string ErrorText(const nlohmann::json& error);

}  // namespace dottereltrack
