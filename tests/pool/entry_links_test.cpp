#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

TEST_CASE("A silent link is aborted", "[pool][entry][links]") {
  // Guards against peers that failed without closing their connections.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  entry.AddAgent(2, "m2", ResourcesFor(1));
  entry.now.boot += entry.board.settings.link_timeout;
  const auto aborted = SelectEffects<AbortLink>(
      entry.Step({MessageReceived{{2}, Ping{}}, EntryTick{}}));
  REQUIRE(aborted.size() == 1);
  CHECK(aborted[0].link == LinkId{1});
}

TEST_CASE("After a pause an entry aborts all its links",
          "[pool][entry][links]") {
  // Guards against a resumed entry that acts on outdated messages of agents.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  entry.AddAgent(2, "m2", ResourcesFor(1));
  const auto aborted =
      SelectEffects<AbortLink>(entry.Step({EntryPaused{milliseconds{3'500}}}));
  CHECK(aborted.size() == 2);
}

TEST_CASE("Idle links carry pings", "[pool][entry][links]") {
  // Guards against healthy links that time out for lack of messages.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  const auto pings = SelectMessages<Ping>(
      entry.AdvanceTime(entry.board.settings.ping_interval));
  CHECK(pings.size() == 1);
}

TEST_CASE("Assigned resources are not assigned again before a load report",
          "[pool][entry][placement]") {
  // Guards against starts that the agent must refuse for lack of resources.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(2));
  CHECK(SelectMessages<StartRun>(entry.Submit(1, 2)).size() == 2);
  CHECK(SelectMessages<StartRun>(entry.Submit(2, 1)).empty());
  // The report covers the first of the two starts only.
  const LoadReport one_handled{1, ResourcesFor(1), true, true, 0};
  CHECK(
      SelectMessages<StartRun>(entry.Step({MessageReceived{{1}, one_handled}}))
          .empty());
  const LoadReport room{2, ResourcesFor(1), true, true, 0};
  CHECK(SelectMessages<StartRun>(entry.Step({MessageReceived{{1}, room}}))
            .size() == 1);
}

TEST_CASE("A task waits for a minion that can meet its goal",
          "[pool][entry][placement]") {
  // Pattern: minions that turn slow while the others are full. Guards against
  // jobs that are late for certain because a slow minion has room, and against
  // tasks that wait although no minion could meet their goal.
  struct Row {
    const char* name;
    // Ratios of run time to estimate; the first minion is full.
    double full_minion;
    double free_minion;
    milliseconds age;
    std::size_t starts;
  };
  // The goal is 260 ms after the submission, the estimate 100 ms.
  const auto row = GENERATE(values<Row>({
      {"fast enough", 1, 2, milliseconds{0}, 1},
      {"too slow", 1, 8, milliseconds{0}, 0},
      {"just fast enough", 1, 2.5, milliseconds{0}, 0},
      {"just fast enough, no other", 8, 2.5, milliseconds{0}, 1},
      {"just fast enough, as others", 2.2, 2.5, milliseconds{0}, 1},
      {"too slow by now", 1, 2, milliseconds{80}, 0},
      {"no minion is fast enough", 8, 8, milliseconds{0}, 1},
      {"already late", 1, 8, milliseconds{170}, 1},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.AddAgent(1, "full", ResourcesFor(0), std::log(row.full_minion));
  entry.Submit(1, 1);
  entry.AdvanceTime(row.age);
  entry.AddAgent(2, "free", ResourcesFor(1), std::log(row.free_minion));
  const auto& tasks = entry.board.tasks;
  const auto started = std::count_if(
      tasks.begin(), tasks.end(),
      [](const auto& it) { return it.second.state == TaskState::kPlaced; });
  CHECK(static_cast<std::size_t>(started) == row.starts);
}

TEST_CASE("An entry is dialed until a minute after it was last listed",
          "[pool][entry][links]") {
  // Guards against losing all peers when registrations expire during a store
  // outage.
  struct Row {
    seconds after;
    bool dials;
  };
  const auto row =
      GENERATE(values<Row>({{seconds{30}, true}, {seconds{90}, false}}));
  CAPTURE(row.after.count());
  EntryFixture entry;
  entry.Step({EntriesListed{{{"10.0.0.2", 7000}}}});
  entry.Step({PeerDialed{{"10.0.0.2", 7000}, std::nullopt}});
  entry.Step({EntriesListed{{}}});
  entry.now.boot += row.after;
  CHECK(SelectEffects<DialPeer>(entry.Step({})).size() ==
        (row.dials ? 1U : 0U));
}

}  // namespace
}  // namespace dottereltrack::pool
