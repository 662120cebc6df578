#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace dottereltrack {

// Each takes the configuration as GET /v1/config gives it and returns it with
// one change.

// An empty value removes the override.
nlohmann::json WithLabel(nlohmann::json config, const std::string& minion,
                         const std::string& label, const std::string& value);
nlohmann::json WithDrained(nlohmann::json config, const std::string& minion);
nlohmann::json WithoutDrained(nlohmann::json config, const std::string& minion);

// The body of PUT /v1/config for a configuration as GET gives it.
nlohmann::json ChangeBody(nlohmann::json config,
                          std::uint64_t expected_version);

}  // namespace dottereltrack
