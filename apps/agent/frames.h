#pragma once

#include <string>
#include <vector>

#include "core/messages.h"

namespace dottereltrack {

// The encoded frames of one message. A Results message that exceeds the frame
// limit is split. If a message or a part of it is too large and cannot be
// split, it is omitted and `fits` is false.
struct FrameList {
  std::vector<std::string> frames;
  bool all_fit = true;
  friend bool operator==(const FrameList&, const FrameList&) = default;
};

FrameList EncodeFrames(const AgentToEntry& message);

}  // namespace dottereltrack
