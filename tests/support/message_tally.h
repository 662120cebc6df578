#pragma once

#include <cstdint>

#include "core/messages.h"

namespace dottereltrack::testing {

// Messages between processes by use, as the measures of the design page define
// it. The store's calls are counted apart.
struct MessageTally {
  // Start a task, carry a result, or bring a caller's request or reply to the
  // entry that needs it.
  std::uint64_t useful = 0;
  // All others.
  std::uint64_t wasted = 0;
  friend auto operator<=>(const MessageTally&, const MessageTally&) = default;
};

// The tally after one more message.
MessageTally Tally(MessageTally tally, const EntryToAgent& message);
MessageTally Tally(MessageTally tally, const AgentToEntry& message);
MessageTally Tally(MessageTally tally, const EntryToEntry& message);

}  // namespace dottereltrack::testing
