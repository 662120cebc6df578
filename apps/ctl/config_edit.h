#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace dottereltrack {

// The functions below take the configuration as returned by GET /v1/config.
// Those named With... return it with one change.

// Sets the override of a minion's label. An empty value removes the override.
nlohmann::json WithLabelOverride(nlohmann::json config,
                                 const std::string& minion,
                                 const std::string& label,
                                 const std::string& value);
nlohmann::json WithDrainedMinion(nlohmann::json config,
                                 const std::string& minion);
nlohmann::json WithoutDrainedMinion(nlohmann::json config,
                                    const std::string& minion);

// Returns the body of the PUT /v1/config request that stores this
// configuration.
nlohmann::json MakeConfigChangeBody(nlohmann::json config,
                                    std::uint64_t expected_version);

}  // namespace dottereltrack
