#pragma once

#include <cstdint>

#include "core/messages.h"

namespace dottereltrack::testing {

// Counts useful and wasted messages between processes, as defined by the
// measures in the design document. Calls to the store are counted separately.
struct MessageTally {
  // Messages that start a task, carry a result, or forward a caller's request
  // or reply between entries.
  std::uint64_t useful = 0;
  // All other messages.
  std::uint64_t wasted = 0;
  friend auto operator<=>(const MessageTally&, const MessageTally&) = default;
};

// Returns the tally with one more message counted.
MessageTally CountMessage(MessageTally tally, const EntryToAgent& message);
MessageTally CountMessage(MessageTally tally, const AgentToEntry& message);
MessageTally CountMessage(MessageTally tally, const EntryToEntry& message);

}  // namespace dottereltrack::testing
