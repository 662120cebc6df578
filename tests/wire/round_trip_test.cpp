#include <catch2/catch.hpp>
#include <set>

#include "wire/codec.h"
#include "wire/sample_messages.h"

namespace dottereltrack::testing {
namespace {

template <typename Samples>
std::set<std::size_t> KindsOf(const Samples& samples) {
  std::set<std::size_t> kinds;
  for (const auto& it : samples) kinds.insert(it.message.index());
  return kinds;
}

}  // namespace

// Guards against a field that is lost, swapped or cut on the way to an agent.
TEST_CASE("messages to an agent survive the wire", "[wire]") {
  const auto sample = GENERATE(from_range(EntryToAgentSamples()));
  CAPTURE(sample.name);
  const std::string frame = Encode(sample.message);
  REQUIRE(frame.size() <= kMaxFrameBytes);
  const auto decoded = DecodeToAgent(frame);
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == sample.message));
}

// Guards against the same fault on the way from an agent.
TEST_CASE("messages of an agent survive the wire", "[wire]") {
  const auto sample = GENERATE(from_range(AgentToEntrySamples()));
  CAPTURE(sample.name);
  const std::string frame = Encode(sample.message);
  REQUIRE(frame.size() <= kMaxFrameBytes);
  const auto decoded = DecodeToEntry(frame);
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == ToEntry(sample.message)));
}

// Guards against the same fault between entries.
TEST_CASE("messages between entries survive the wire", "[wire]") {
  const auto sample = GENERATE(from_range(EntryToEntrySamples()));
  CAPTURE(sample.name);
  const std::string frame = Encode(sample.message);
  REQUIRE(frame.size() <= kMaxFrameBytes);
  const auto decoded = DecodeToEntry(frame);
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == ToEntry(sample.message)));
}

// Guards against a new message kind that no round trip covers.
TEST_CASE("every message kind has a sample", "[wire]") {
  CHECK(KindsOf(EntryToAgentSamples()).size() ==
        std::variant_size_v<EntryToAgent>);
  CHECK(KindsOf(AgentToEntrySamples()).size() ==
        std::variant_size_v<AgentToEntry>);
  CHECK(KindsOf(EntryToEntrySamples()).size() ==
        std::variant_size_v<EntryToEntry>);
}

// Guards against misaligned reads: a frame may begin anywhere in a buffer.
TEST_CASE("a frame is decoded at any alignment", "[wire]") {
  const auto offset = GENERATE(range(0, 8));
  const EntryToAgent message = EntryToAgentSamples().front().message;
  const std::string buf = std::string(offset, 'x') + Encode(message);
  const auto decoded = DecodeToAgent(std::string_view(buf).substr(offset));
  REQUIRE(decoded.has_value());
  CHECK((decoded.value() == message));
}

}  // namespace dottereltrack::testing
