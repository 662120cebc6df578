#pragma once

#include <cstddef>
#include <cstdint>

#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack {

// Identity, limits and timings of one agent. Fixed while the process runs.
struct AgentSettings {
  AgentId id;
  // Must be at least the retention of the entries.
  milliseconds retention{900'000};
  // Longest time that a message of the dispatcher stays unacknowledged.
  milliseconds ack_delay{1'000};
  milliseconds dial_retry{300};
  // After this time a stopping agent ends, also if the dispatcher is away.
  milliseconds leave_timeout{15'000};
  // Outputs above this sum are dropped from the ledger, oldest first.
  std::size_t max_output_bytes = 8 << 20;
  std::size_t max_inventory_entries = 1'000;
  std::size_t max_inventory_bytes = 1 << 20;
  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

}  // namespace dottereltrack
