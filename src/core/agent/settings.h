#pragma once

#include <cstddef>
#include <cstdint>

#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack {

// Identity, limits and timeouts of one agent. Constant while the process runs.
struct AgentSettings {
  AgentId id;
  // How long records are kept. Must be at least the retention of the entries.
  milliseconds retention{900'000};
  // Longest time that a message from the dispatcher stays unacknowledged.
  milliseconds ack_delay{1'000};
  milliseconds dial_retry{300};
  // After this time, a stopping agent that is idle exits even if it is still in
  // the roster, for example because the dispatcher is unreachable.
  milliseconds leave_timeout{15'000};
  // Limit of the total size of the outputs in the ledger. Above it, the oldest
  // outputs are dropped.
  std::size_t max_output_bytes = 8 << 20;
  std::size_t max_inventory_entries = 1'000;
  std::size_t max_inventory_bytes = 1 << 20;
  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

}  // namespace dottereltrack
