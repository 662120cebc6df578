#include "apps/agent/frames.h"

#include <catch2/catch.hpp>

#include "wire/codec.h"

namespace dottereltrack {
namespace {

Results MakeResults(std::uint32_t count, std::size_t bytes) {
  Results results;
  results.ack = {{1, 2}, 3};
  for (std::uint32_t n = 0; n < count; ++n) {
    results.results.push_back({{{}, n},
                               LedgerState::kDone,
                               std::string(bytes, 'x'),
                               microseconds{5}});
  }
  results.refused.push_back({{{}, count}, {1, 2}, StartRefusal::kNoSlot});
  return results;
}

}  // namespace

// Guards against losing results that together exceed the frame limit.
TEST_CASE("results are split into frames within the limit", "[agent]") {
  struct Row {
    std::uint32_t count;
    std::size_t bytes;
    std::size_t frames;
  };
  const auto row = GENERATE(values<Row>({{0, 0, 1},
                                         {64, 100, 1},
                                         {7, 1U << 20, 1},
                                         {8, 1U << 20, 2},
                                         {64, 1U << 20, 16}}));
  CAPTURE(row.count, row.bytes);
  const Results sent = MakeResults(row.count, row.bytes);
  const FrameList list = EncodeFrames(AgentToEntry{sent});
  CHECK(list.all_fit);
  CHECK(list.frames.size() == row.frames);
  Results received;
  for (const std::string& frame : list.frames) {
    REQUIRE(frame.size() <= kMaxFrameBytes);
    const auto message = DecodeToEntry(frame);
    REQUIRE(message.has_value());
    const auto& part =
        std::get<Results>(std::get<AgentToEntry>(message.value()));
    CHECK((part.ack == sent.ack));
    received.ack = part.ack;
    for (const auto& it : part.results) received.results.push_back(it);
    for (const auto& it : part.refused) received.refused.push_back(it);
  }
  CHECK((received == sent));
}

// Guards against sending an oversized frame, on which the entry would close the
// link.
TEST_CASE("an oversized message that cannot be split is omitted", "[agent]") {
  const FrameList list = EncodeFrames(AgentToEntry{MakeResults(1, 9U << 20)});
  CHECK_FALSE(list.all_fit);
  CHECK(list.frames.empty());
}

}  // namespace dottereltrack
