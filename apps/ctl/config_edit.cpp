#include "apps/ctl/config_edit.h"

#include <algorithm>
#include <utility>

namespace dottereltrack {

using nlohmann::json;

json WithLabelOverride(json config, const std::string& minion,
                       const std::string& label, const std::string& value) {
  json& overrides = config["label_overrides"];
  json& labels = overrides[minion];
  if (!value.empty()) {
    labels[label] = value;
    return config;
  }
  if (labels.is_object()) labels.erase(label);
  if (labels.empty()) overrides.erase(minion);
  return config;
}

json WithDrainedMinion(json config, const std::string& minion) {
  json& drained = config["drained_minions"];
  if (std::find(drained.begin(), drained.end(), minion) == drained.end()) {
    drained.push_back(minion);
  }
  return config;
}

json WithoutDrainedMinion(json config, const std::string& minion) {
  json rest = json::array();
  for (const json& name : config["drained_minions"]) {
    if (name != minion) rest.push_back(name);
  }
  config["drained_minions"] = std::move(rest);
  return config;
}

json MakeConfigChangeBody(json config, std::uint64_t expected_version) {
  config.erase("version");
  config["expected_version"] = expected_version;
  return config;
}

}  // namespace dottereltrack
