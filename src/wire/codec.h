#pragma once

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "core/messages.h"

namespace dottereltrack {

// Maximum size of a frame that is sent or accepted, without the length prefix.
inline constexpr std::size_t kMaxFrameBytes = 8U << 20;

// Version of the wire format. A frame of another version is rejected and logged
// with both versions; unknown fields and message kinds of the same version are
// ignored.
inline constexpr std::uint16_t kWireVersion = 1;

enum class WireErrorKind {
  kTooLarge,
  kMalformed,
  kVersionMismatch,
  // The message kind is unknown to this receiver.
  kUnknownMessageKind,
};

struct WireError {
  WireErrorKind kind = WireErrorKind::kMalformed;
  // Cause of the error and advice for the operator.
  std::string message;
};

template <typename T>
using WireResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, WireError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Any message that an entry can receive. Agents and entries connect to the same
// port.
using MessageToEntry = std::variant<AgentToEntry, EntryToEntry>;

// Returns the payload of one frame, without the length prefix.
std::string Encode(const EntryToAgent& message);
std::string Encode(const AgentToEntry& message);
std::string Encode(const EntryToEntry& message);

// Decodes one frame from an untrusted sender. Never reads outside the frame and
// allocates at most a small multiple of its size.
WireResult<MessageToEntry> DecodeToEntry(std::string_view frame);
WireResult<EntryToAgent> DecodeToAgent(std::string_view frame);

}  // namespace dottereltrack
