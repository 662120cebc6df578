#pragma once

#include <optional>
#include <string>

#include "core/messages.h"

namespace dottereltrack {

// The frame of a message. Nothing if it is too large for a frame, which is
// logged; a receiver would close the link on such a frame.
std::optional<std::string> FrameOf(const EntryToAgent& message);

// The same. An answer that is too large is replaced by a refusal, so that its
// caller does not wait in vain.
std::optional<std::string> FrameOf(const EntryToEntry& message);

}  // namespace dottereltrack
