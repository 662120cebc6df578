#include "pool_wire/codec.h"

#include <catch2/catch.hpp>

namespace dottereltrack::pool {
namespace {

constexpr RunKey kRun{{0x5c0e7a21d94b36f8, 1, 17}, 1'775'110'326'000};

std::vector<CrashReport> SampleCrashes() {
  return {{{"m1", 1'775'110'320'000},
           {{kRun.task, {3, 0, 1}}, {{4, 0, 0}}},
           milliseconds{9}},
          {{"m2", 0}, {}, milliseconds{0}}};
}

ForwardJob SampleForwardedJob() {
  ForwardJob forwarded;
  forwarded.job = {3,
                   std::string("payload"),
                   {{8, {1'300, 64, 0}, milliseconds{51}},
                    {1, {100, 0, 1}, milliseconds{7}}}};
  forwarded.request_id = "c1-7";
  forwarded.host = "menus.example";
  forwarded.path = "/q/0000000000000003";
  forwarded.config_version = 12;
  forwarded.age = milliseconds{3};
  forwarded.client_timeout = milliseconds{1'400};
  return forwarded;
}

Message SampleMessage(std::size_t kind) {
  switch (kind) {
    case 0:
      return EntryHello{7,
                        {{"10.0.0.1", 7000}, {"10.0.0.2", 7001}},
                        SampleCrashes(),
                        milliseconds{50},
                        true};
    case 1:
      return StartRun{
          3,    kRun, std::string("payload"), {6'200, 64, 1}, milliseconds{99},
          true, "b"};
    case 2:
      return StopRun{kRun};
    case 3:
      return Ping{};
    case 4:
      return ConfigOffer{9, std::string("{}")};
    case 5:
      return KnownEntries{{{"10.0.0.1", 7000}}};
    case 6:
      return AgentHello{5,
                        "m1",
                        "menus",
                        "north",
                        "r1",
                        {64'000, 1'024, 0},
                        SampleCrashes(),
                        {"a", "r1"}};
    case 7:
      return LoadReport{4, {1, 2, 3}, true, true, 0.25, true, true};
    case 8:
      return StartRefused{kRun, StartRefusal::kOldNumber};
    case 9:
      return RunEnded{kRun, RunEnd::kStalled, milliseconds{120}};
    case 10:
      return EvacuationList{{{"north", 7, true}, {"south", 9, false}}};
    case 11:
      return ConfigAnnouncement{9, 200'000};
    case 12:
      return ConfigRequest{9};
    case 13:
      return EntryLoad{740, 5,    {{"menus", 12'000, milliseconds{30}}},
                       17,  true, "north"};
    case 14:
      return SampleForwardedJob();
    case 15:
      return ForwardedJobEnded{3, ForwardedOutcome::kRefused,
                               milliseconds{1'500}};
    case 16:
      return CancelJob{4, 3, true};
    case 17:
      return JobCancelled{4, 3, true};
    case 18:
      return AcceptedJobs{{7, 0xffffffff}};
    default:
      return FollowJob{3, {"10.0.0.2", 7001}, milliseconds{1'400}};
  }
}

TEST_CASE("A message survives encoding and decoding", "[pool][wire]") {
  // Guards against fields that the encoder or the decoder omits.
  const auto kind =
      GENERATE(range<std::size_t>(0, std::variant_size_v<Message>));
  const Message message = SampleMessage(kind);
  REQUIRE(message.index() == kind);
  const auto decoded = DecodeFrame(EncodeFrame(message));
  REQUIRE(decoded);
  CHECK(decoded.value() == message);
}

TEST_CASE("A damaged frame is refused or decoded, never read beyond its end",
          "[pool][wire]") {
  // Guards against crashes caused by arbitrary bytes on the internal port.
  // Reads beyond the end are detected in builds with sanitizers.
  const auto kind =
      GENERATE(range<std::size_t>(0, std::variant_size_v<Message>));
  const std::string frame = EncodeFrame(SampleMessage(kind));
  for (std::size_t n = 0; n < frame.size(); ++n) {
    CHECK_NOTHROW(static_cast<void>(DecodeFrame(frame.substr(0, n))));
    for (const char byte : {'\0', '\x7f', '\xff'}) {
      std::string damaged = frame;
      damaged[n] = byte;
      CHECK_NOTHROW(static_cast<void>(DecodeFrame(damaged)));
    }
  }
}

}  // namespace
}  // namespace dottereltrack::pool
