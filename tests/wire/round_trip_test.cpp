#include <catch2/catch.hpp>
#include <set>

#include "wire/codec.h"
#include "wire/sample_messages.h"

namespace dottereltrack::testing {
namespace {

template <typename Samples>
std::set<std::size_t> MessageKinds(const Samples& samples) {
  std::set<std::size_t> kinds;
  for (const auto& it : samples) kinds.insert(it.message.index());
  return kinds;
}

}  // namespace

// Guards against fields of messages to an agent that are lost, swapped or
// truncated by encoding and decoding.
TEST_CASE("messages to an agent are unchanged by a round trip", "[wire]") {
  const auto sample = GENERATE(from_range(EntryToAgentSamples()));
  CAPTURE(sample.name);
  const std::string frame = Encode(sample.message);
  REQUIRE(frame.size() <= kMaxFrameBytes);
  const auto decoded = DecodeToAgent(frame);
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == sample.message));
}

// Guards against fields of messages from an agent that are lost, swapped or
// truncated by encoding and decoding.
TEST_CASE("messages from an agent are unchanged by a round trip", "[wire]") {
  const auto sample = GENERATE(from_range(AgentToEntrySamples()));
  CAPTURE(sample.name);
  const std::string frame = Encode(sample.message);
  REQUIRE(frame.size() <= kMaxFrameBytes);
  const auto decoded = DecodeToEntry(frame);
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == MessageToEntry(sample.message)));
}

// Guards against fields of messages between entries that are lost, swapped or
// truncated by encoding and decoding.
TEST_CASE("messages between entries are unchanged by a round trip", "[wire]") {
  const auto sample = GENERATE(from_range(EntryToEntrySamples()));
  CAPTURE(sample.name);
  const std::string frame = Encode(sample.message);
  REQUIRE(frame.size() <= kMaxFrameBytes);
  const auto decoded = DecodeToEntry(frame);
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == MessageToEntry(sample.message)));
}

// Guards against a new message kind without a round-trip test.
TEST_CASE("every message kind has a sample", "[wire]") {
  CHECK(MessageKinds(EntryToAgentSamples()).size() ==
        std::variant_size_v<EntryToAgent>);
  CHECK(MessageKinds(AgentToEntrySamples()).size() ==
        std::variant_size_v<AgentToEntry>);
  CHECK(MessageKinds(EntryToEntrySamples()).size() ==
        std::variant_size_v<EntryToEntry>);
}

// Guards against misaligned reads: a frame may start at any address in a
// buffer.
TEST_CASE("a frame is decoded at any alignment", "[wire]") {
  const auto offset = GENERATE(range(0, 8));
  const EntryToAgent message = EntryToAgentSamples().front().message;
  const std::string buf = std::string(offset, 'x') + Encode(message);
  const auto decoded = DecodeToAgent(std::string_view(buf).substr(offset));
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == message));
}

}  // namespace dottereltrack::testing
