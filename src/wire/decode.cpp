#include <cstring>
#include <utility>

#include "wire/codec.h"
#include "wire/read_messages.h"

namespace dottereltrack {
namespace {

// Minimum encoded size of a non-empty table: a valid frame of n bytes contains
// at most n / 8 of them.
constexpr std::size_t kMinTableBytes = 8;
constexpr std::size_t kMinTableLimit = 16;

// FlatBuffers reads numbers of up to 8 bytes in place, so the buffer must have
// this alignment.
constexpr std::size_t kAlignment = 8;

template <typename... Body>
struct BodyTypes {};

using ToAgentBodies =
    BodyTypes<wire::EntryHello, wire::FenceRequest, wire::Starts,
              wire::Heartbeat, wire::CancelTasks, wire::WitnessRequest,
              wire::LedgerCopy, wire::ConfigUpdate, wire::TableUpdate>;
using FromAgentBodies =
    BodyTypes<wire::AgentHello, wire::Inventory, wire::Results,
              wire::HeartbeatAck, wire::WitnessAck, wire::LedgerCopyAck,
              wire::MinionUpdate>;
using FromPeerBodies =
    BodyTypes<wire::PeerHello, wire::PeerHeartbeat, wire::ForwardSubmit,
              wire::ForwardFetch, wire::ForwardCancel, wire::ForwardReply,
              wire::TableUpdate, wire::ConfigUpdate>;

// Reads the message into `result` and returns true if its type is `Body`.
template <typename Body, typename Message, typename Result>
bool ReadIfType(const wire::Envelope& envelope, DecodeContext* context,
                std::optional<Result>* result) {
  if (envelope.message_type() != wire::MessageTraits<Body>::enum_value) {
    return false;
  }
  const auto* body = static_cast<const Body*>(envelope.message());
  *result = Result(Message(Read(*body, context)));
  return true;
}

template <typename Message, typename Result, typename... Body>
bool ReadOneOf(const wire::Envelope& envelope, DecodeContext* context,
               std::optional<Result>* result, BodyTypes<Body...>) {
  return (ReadIfType<Body, Message>(envelope, context, result) || ...);
}

bool ReadMessage(const wire::Envelope& envelope, DecodeContext* context,
                 std::optional<EntryToAgent>* result) {
  return ReadOneOf<EntryToAgent>(envelope, context, result, ToAgentBodies{});
}

bool ReadMessage(const wire::Envelope& envelope, DecodeContext* context,
                 std::optional<MessageToEntry>* result) {
  return ReadOneOf<AgentToEntry>(envelope, context, result,
                                 FromAgentBodies{}) ||
         ReadOneOf<EntryToEntry>(envelope, context, result, FromPeerBodies{});
}

flatbuffers::Verifier MakeVerifier(std::string_view frame) {
  flatbuffers::Verifier::Options options;
  options.max_tables = static_cast<flatbuffers::uoffset_t>(
      frame.size() / kMinTableBytes + kMinTableLimit);
  return flatbuffers::Verifier(
      reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size(),
      options);
}

// Checks the size and the wire version of the frame and verifies all offsets.
std::optional<WireError> CheckFrame(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes) {
    return WireError{WireErrorKind::kTooLarge,
                     "the frame has " + std::to_string(frame.size()) +
                         " bytes, more than the limit of " +
                         std::to_string(kMaxFrameBytes) +
                         "; split the message or lower the payload limit"};
  }
  auto preamble = MakeVerifier(frame);
  if (!preamble.VerifyBuffer<wire::Preamble>(wire::EnvelopeIdentifier())) {
    return WireError{WireErrorKind::kMalformed,
                     "the frame has no valid envelope; check that the peer is "
                     "a dottereltrack process"};
  }
  const auto version =
      flatbuffers::GetRoot<wire::Preamble>(frame.data())->version();
  if (version != kWireVersion) {
    return WireError{WireErrorKind::kVersionMismatch,
                     "the peer has wire version " + std::to_string(version) +
                         ", this process has " + std::to_string(kWireVersion) +
                         "; run releases with the same wire version"};
  }
  auto envelope = MakeVerifier(frame);
  if (!wire::VerifyEnvelopeBuffer(envelope)) {
    return WireError{WireErrorKind::kMalformed,
                     "the frame is damaged or lacks a required field; check "
                     "the sender's release"};
  }
  return std::nullopt;
}

template <typename Result>
WireResult<Result> DecodeAligned(std::string_view frame) {
  if (auto error = CheckFrame(frame)) return *std::move(error);
  const wire::Envelope& envelope = *wire::GetEnvelope(frame.data());
  DecodeContext context(frame.size());
  if (envelope.message() == nullptr) {
    return WireError{WireErrorKind::kMalformed,
                     "the envelope is empty; check the sender"};
  }
  std::optional<Result> result;
  if (!ReadMessage(envelope, &context, &result)) {
    return WireError{
        WireErrorKind::kUnknownMessageKind,
        "message kind " +
            std::to_string(static_cast<int>(envelope.message_type())) +
            " is not known to this receiver; check the releases and the "
            "address"};
  }
  if (context.error()) return *context.error();
  return *std::move(result);
}

// Decodes a frame at any address; copies it first if it is not aligned.
template <typename Result>
WireResult<Result> DecodeFrame(std::string_view frame) {
  const auto address = reinterpret_cast<std::uintptr_t>(frame.data());
  if (address % kAlignment == 0 || frame.size() > kMaxFrameBytes) {
    return DecodeAligned<Result>(frame);
  }
  std::vector<std::uint64_t> copy((frame.size() + kAlignment - 1) / kAlignment);
  std::memcpy(copy.data(), frame.data(), frame.size());
  return DecodeAligned<Result>(
      {reinterpret_cast<const char*>(copy.data()), frame.size()});
}

}  // namespace

WireResult<MessageToEntry> DecodeToEntry(std::string_view frame) {
  return DecodeFrame<MessageToEntry>(frame);
}

WireResult<EntryToAgent> DecodeToAgent(std::string_view frame) {
  return DecodeFrame<EntryToAgent>(frame);
}

}  // namespace dottereltrack
