#pragma once

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "core/messages.h"

namespace dottereltrack {

// Largest frame that is sent or accepted, without its length prefix.
inline constexpr std::size_t kMaxFrameBytes = 8U << 20;

// Version of the wire format. A peer of another version is refused with a clear
// log line; unknown fields and message kinds of the same version are ignored.
inline constexpr std::uint16_t kWireVersion = 1;

enum class WireErrorKind {
  kTooLarge,
  kMalformed,
  kOtherVersion,
  // A message kind that this version does not know.
  kUnknownKind,
};

struct WireError {
  WireErrorKind kind = WireErrorKind::kMalformed;
  // Says what was wrong and what to do.
  std::string message;
};

template <typename T>
using WireResult = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, WireError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// What an entry can receive on its port: agents and entries use the same one.
using ToEntry = std::variant<AgentToEntry, EntryToEntry>;

// Payload of one frame, without the length prefix.
std::string Encode(const EntryToAgent& message);
std::string Encode(const AgentToEntry& message);
std::string Encode(const EntryToEntry& message);

// Decodes one frame of a sender that is not trusted. Never reads outside the
// bytes and allocates no more than a small multiple of them.
WireResult<ToEntry> DecodeToEntry(std::string_view frame);
WireResult<EntryToAgent> DecodeToAgent(std::string_view frame);

}  // namespace dottereltrack
