#pragma once

#include <string>
#include <vector>

#include "core/messages.h"

namespace dottereltrack {

// The frames of a message. Results that do not fit into one frame are split. A
// message that cannot be split is left out; false in `fits` then.
struct FrameList {
  std::vector<std::string> frames;
  bool fits = true;
  friend bool operator==(const FrameList&, const FrameList&) = default;
};

FrameList FramesOf(const AgentToEntry& message);

}  // namespace dottereltrack
