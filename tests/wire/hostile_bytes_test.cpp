#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "messages_generated.h"
#include "wire/codec.h"
#include "wire/sample_messages.h"

namespace dottereltrack::testing {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

std::string FinishedFrame(Builder* builder, std::uint16_t version,
                          wire::Message kind, flatbuffers::Offset<void> body) {
  wire::FinishEnvelopeBuffer(
      *builder, wire::CreateEnvelope(*builder, version, kind, body));
  return {reinterpret_cast<const char*>(builder->GetBufferPointer()),
          builder->GetSize()};
}

std::string HeartbeatFrame(std::uint16_t version, wire::Message kind) {
  Builder builder;
  const wire::Fence fence(1, 2);
  const auto body = wire::CreateHeartbeat(builder, &fence, 3);
  return FinishedFrame(&builder, version, kind, body.Union());
}

std::string EmptyEnvelope() {
  Builder builder;
  return FinishedFrame(&builder, kWireVersion, wire::Message::Heartbeat, 0);
}

// A small frame with a list that refers to one large element many times.
std::string ExpandingFrame() {
  Builder builder;
  const wire::TaskId id;
  const auto output = builder.CreateVector(std::vector<std::uint8_t>(1 << 20));
  const auto entry = wire::CreateLedgerEntry(
      builder, &id, 1, 1, wire::LedgerState::Done, output, false);
  const auto entries = builder.CreateVector(
      std::vector<flatbuffers::Offset<wire::LedgerEntry>>(100'000, entry));
  const wire::AgentAck ack;
  const auto body = wire::CreateInventory(builder, &ack, entries);
  return FinishedFrame(&builder, kWireVersion, wire::Message::Inventory,
                       body.Union());
}

std::string ResultFrame(wire::LedgerState state, std::int64_t run_time) {
  Builder builder;
  const wire::TaskId id;
  const auto output = builder.CreateVector(std::vector<std::uint8_t>());
  const auto result =
      wire::CreateTaskResult(builder, &id, state, output, run_time);
  const auto results = builder.CreateVector(&result, 1);
  const wire::AgentAck ack;
  const auto body = wire::CreateResults(builder, &ack, results);
  return FinishedFrame(&builder, kWireVersion, wire::Message::Results,
                       body.Union());
}

std::string OutcomeFrame(wire::OutcomeKind kind,
                         flatbuffers::Optional<wire::Ground> ground) {
  Builder builder;
  const auto text = builder.CreateVector(std::vector<std::uint8_t>());
  const auto outcome = wire::CreateOutcome(builder, kind, text, ground);
  const auto outcomes = builder.CreateVector(&outcome, 1);
  const wire::SubmissionId id;
  const auto answer = wire::CreateAnswer(builder, &id, true,
                                         builder.CreateString(""), outcomes);
  const auto body =
      wire::CreateForwardReply(builder, 1, wire::Reply::Answer, answer.Union());
  return FinishedFrame(&builder, kWireVersion, wire::Message::ForwardReply,
                       body.Union());
}

std::string UnknownReplyFrame() {
  Builder builder;
  const wire::SubmissionId id;
  const auto reply = wire::CreateStillOpen(builder, &id);
  const auto body = wire::CreateForwardReply(
      builder, 1, static_cast<wire::Reply>(99), reply.Union());
  return FinishedFrame(&builder, kWireVersion, wire::Message::ForwardReply,
                       body.Union());
}

// One small valid frame of each kind.
std::vector<std::string> SmallFrames() {
  std::vector<std::string> frames;
  const auto add = [&](const auto& samples) {
    for (const auto& it : samples) {
      std::string frame = Encode(it.message);
      if (frame.size() < 4'096) frames.push_back(std::move(frame));
    }
  };
  add(EntryToAgentSamples());
  add(AgentToEntrySamples());
  add(EntryToEntrySamples());
  return frames;
}

// Decodes the frame with both functions and checks that each error has a
// message.
void DecodeBoth(const std::string& frame) {
  const auto to_agent = DecodeToAgent(frame);
  const auto to_entry = DecodeToEntry(frame);
  if (!to_agent) REQUIRE_FALSE(to_agent.error().message.empty());
  if (!to_entry) REQUIRE_FALSE(to_entry.error().message.empty());
}

}  // namespace

// Guards against an invalid frame being accepted or rejected with the wrong
// kind of error.
TEST_CASE("an invalid frame is rejected with the kind of its error", "[wire]") {
  struct Row {
    const char* name;
    std::string frame;
    WireErrorKind kind;
  };
  const auto unknown_kind = static_cast<wire::Message>(200);
  const auto row = GENERATE_COPY(values<Row>({
      {"no bytes", "", WireErrorKind::kMalformed},
      {"text", "GET / HTTP/1.1\r\nHost: entry\r\n\r\n",
       WireErrorKind::kMalformed},
      {"zeros", std::string(64, '\0'), WireErrorKind::kMalformed},
      {"too large", std::string(kMaxFrameBytes + 1, '\0'),
       WireErrorKind::kTooLarge},
      {"version mismatch", HeartbeatFrame(kWireVersion + 1, unknown_kind),
       WireErrorKind::kVersionMismatch},
      {"unknown kind", HeartbeatFrame(kWireVersion, unknown_kind),
       WireErrorKind::kUnknownMessageKind},
      {"no kind", HeartbeatFrame(kWireVersion, wire::Message::NONE),
       WireErrorKind::kUnknownMessageKind},
      {"kind for an agent",
       HeartbeatFrame(kWireVersion, wire::Message::Heartbeat),
       WireErrorKind::kUnknownMessageKind},
      {"no body", EmptyEnvelope(), WireErrorKind::kMalformed},
      {"expands", ExpandingFrame(), WireErrorKind::kMalformed},
      {"state out of range", ResultFrame(static_cast<wire::LedgerState>(4), 0),
       WireErrorKind::kMalformed},
      {"run time out of range", ResultFrame(wire::LedgerState::Done, INT64_MIN),
       WireErrorKind::kMalformed},
      {"not run without proof",
       OutcomeFrame(wire::OutcomeKind::NotRun, flatbuffers::nullopt),
       WireErrorKind::kMalformed},
      {"ground out of range",
       OutcomeFrame(wire::OutcomeKind::NotRun, static_cast<wire::Ground>(3)),
       WireErrorKind::kMalformed},
      {"outcome out of range",
       OutcomeFrame(static_cast<wire::OutcomeKind>(9), flatbuffers::nullopt),
       WireErrorKind::kMalformed},
      {"unknown reply", UnknownReplyFrame(),
       WireErrorKind::kUnknownMessageKind},
  }));
  CAPTURE(row.name);
  const auto decoded = DecodeToEntry(row.frame);
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().kind == row.kind);
  CHECK_FALSE(decoded.error().message.empty());
}

// Guards against reads past the end of a truncated frame. Each truncated frame
// is a separate buffer, so that the sanitizers detect such reads.
TEST_CASE("a truncated frame is refused", "[wire]") {
  for (const std::string& frame : SmallFrames()) {
    for (std::size_t n = 0; n < frame.size(); n += 3) {
      DecodeBoth(std::string(frame.data(), n));
    }
    const std::string half = frame.substr(0, frame.size() / 2);
    CHECK_FALSE(DecodeToAgent(half).has_value());
    CHECK_FALSE(DecodeToEntry(half).has_value());
  }
}

// Guards against crashes on corrupted frames that pass part of the
// verification.
TEST_CASE("a frame with flipped bits does not crash the decoder", "[wire]") {
  std::mt19937_64 random(20'251'204);
  for (const std::string& frame : SmallFrames()) {
    for (int round = 0; round < 2'000; ++round) {
      std::string damaged = frame;
      const auto flips = 1 + random() % 4;
      for (std::uint64_t n = 0; n < flips; ++n) {
        damaged[random() % damaged.size()] ^=
            static_cast<char>(1 << (random() % 8));
      }
      DecodeBoth(damaged);
    }
  }
}

TEST_CASE("random bytes are refused", "[wire]") {
  std::mt19937_64 random(4'711);
  for (int round = 0; round < 20'000; ++round) {
    std::string frame(random() % 256, '\0');
    std::generate(frame.begin(), frame.end(),
                  [&] { return static_cast<char>(random()); });
    // The verifier reads the offsets only if the file identifier is valid.
    if (frame.size() >= 8 && round % 2 == 0) frame.replace(4, 4, "DTRK");
    DecodeBoth(frame);
  }
}

}  // namespace dottereltrack::testing
