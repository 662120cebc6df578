#pragma once

#include <optional>
#include <string>

#include "core/messages.h"

namespace dottereltrack {

// Encodes a message as a frame. Logs an error and returns nullopt if it exceeds
// the frame limit, because the receiver would close the link on such a frame.
std::optional<std::string> EncodeFrame(const EntryToAgent& message);

// As above, but a forwarded reply that is too large is replaced by a refusal so
// that its caller is not left waiting.
std::optional<std::string> EncodeFrame(const EntryToEntry& message);

}  // namespace dottereltrack
