#include <catch2/catch.hpp>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;
constexpr milliseconds kClientTimeout{30'000};

}  // namespace

TEST_CASE("An entry that ends starts no task of the jobs that it refuses",
          "[pool][entry]") {
  // Guards against an answer "not run" that leaves without its change of the
  // board: the task then starts on a minion that becomes free in the same turn.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  const auto starts =
      SelectMessages<StartRun>(entry.Submit(kJob, 1, kClientTimeout));
  REQUIRE(starts.size() == 1);
  entry.Submit(kJob + 1, 1, kClientTimeout);
  entry.Step({EntryStopRequested{}});
  entry.now.boot += entry.board.settings.max_shutdown_time;
  const LoadReport idle{1, ResourcesFor(1), true, true, 0};
  const auto effects = entry.Step(
      {MessageReceived{{1}, RunEnded{starts[0].second.run, RunEnd::kDone, {}}},
       MessageReceived{{1}, idle}, EntryTick{}});
  CHECK(SelectEffects<ExitEntry>(effects).size() == 1);
  CHECK(SelectEffects<Reply>(effects) ==
        std::vector<Reply>{{{1}, ReplyKind::kCompleted},
                           {{2}, ReplyKind::kStopping, milliseconds{1'000}}});
  CHECK(SelectMessages<StartRun>(effects).empty());
  CHECK(entry.board.active_jobs.empty());
}

}  // namespace dottereltrack::pool
