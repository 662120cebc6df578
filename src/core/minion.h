#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/ids.h"

namespace dottereltrack {

// What a minion announces to its agent. A minion that restarts at the same
// address has a new instance number.
struct MinionDescription {
  std::string name;
  std::uint64_t instance = 0;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint64_t memory_bytes = 0;
  std::uint32_t accelerators = 0;
  std::string data_centre;
  std::string rack;
  bool draining = false;
  friend bool operator==(const MinionDescription&,
                         const MinionDescription&) = default;
};

}  // namespace dottereltrack
