#include <catch2/catch.hpp>

#include "core/pool/entry/entry_load.h"
#include "pool/agent_fixture.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

TEST_CASE("A small or overloaded entry asks for fewer load reports",
          "[pool][entry][overload]") {
  // Guards against entries that are woken up by more reports than they have
  // processor time for, and against a change where there is enough.
  struct Row {
    double cpu_cores;
    std::size_t agents;
    bool is_overloaded;
    int interval_ms;
  };
  const auto row = GENERATE(values<Row>({{0, 57, false, 0},
                                         {0.5, 57, false, 0},
                                         {0.3, 57, false, 0},
                                         {0.12, 57, false, 150},
                                         {0.09, 55, false, 200},
                                         {0.12, 10, false, 0},
                                         {0, 57, true, 300},
                                         {0.5, 57, true, 300},
                                         {0.05, 57, false, 300},
                                         {0.12, 57, true, 300}}));
  CAPTURE(row.cpu_cores, row.agents, row.is_overloaded);
  EntrySettings settings;
  settings.cpu_cores = row.cpu_cores;
  CHECK(WantedReportInterval(row.agents, row.is_overloaded, settings) ==
        milliseconds{row.interval_ms});
}

TEST_CASE("An entry changes the report interval with its load",
          "[pool][entry][overload]") {
  // Guards against requests that are repeated, or not withdrawn.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.AddAgent(2, "m2", ResourcesFor(4));
  const auto requests = [&entry](double busy_share) {
    std::vector<milliseconds> intervals;
    for (const auto& [link, hello] : SelectMessages<EntryHello>(
             entry.Step({LoopLoadMeasured{busy_share, milliseconds{0}}}))) {
      intervals.push_back(hello.report_interval);
    }
    return intervals;
  };
  using Intervals = std::vector<milliseconds>;
  CHECK(requests(0.3).empty());
  CHECK(requests(0.7) == Intervals(2, milliseconds{300}));
  CHECK(requests(0.5).empty());
  CHECK(requests(0.3) == Intervals(2, milliseconds{0}));
  CHECK(requests(0.3).empty());
}

TEST_CASE("An agent applies a report interval to the link that asked for it",
          "[pool][agent][overload]") {
  // Guards against reports that are still sent as often, against an interval
  // for all entries, and against news that wait for the interval.
  AgentFixture agent;
  agent.AddEntry(1, 11);
  agent.AddEntry(2, 12);
  agent.Step({EntryMessage{{1}, EntryHello{11, {}, {}, milliseconds{200}}}});
  const auto reported = [](const std::vector<AgentEffect>& effects) {
    std::vector<std::uint64_t> links;
    for (const auto& [link, report] : SelectMessages<LoadReport>(effects)) {
      links.push_back(link);
    }
    return links;
  };
  using Links = std::vector<std::uint64_t>;
  agent.AdvanceTime(milliseconds{300});
  CHECK(reported(agent.Start(2, MakeRunKey(0))) == Links{1, 2});
  agent.AdvanceTime(milliseconds{60});
  CHECK(reported(agent.Start(2, MakeRunKey(1))) == Links{2});
  CHECK(reported(agent.AdvanceTime(milliseconds{100})).empty());
  CHECK(reported(agent.AdvanceTime(milliseconds{60})) == Links{1});
  // The minion drains, so it accepts no starts.
  MinionReport draining = MakeMinionReport("m1", 1'000, 9);
  draining.draining = true;
  CHECK(reported(agent.Step({MinionReported{draining}})) == Links{1, 2});
  CHECK(reported(agent.Start(1, MakeRunKey(2))) == Links{1});
}

TEST_CASE("An entry counts the ends of runs between two reports",
          "[pool][entry][overload]") {
  // Guards against minions that look full until their next report.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  entry.Step({LoopLoadMeasured{0.7, milliseconds{0}}});
  const auto starts = SelectMessages<StartRun>(entry.Submit(1, 1));
  REQUIRE(starts.size() == 1);
  CHECK(SelectMessages<StartRun>(entry.Submit(2, 1)).empty());
  const auto effects = entry.Step({MessageReceived{
      {1}, RunEnded{starts[0].second.run, RunEnd::kDone, milliseconds{90}}}});
  CHECK(SelectMessages<StartRun>(effects).size() == 1);
}

TEST_CASE("A link that carries other messages gets no ping", "[pool][entry]") {
  // Guards against pings that wake up both sides needlessly, and against links
  // without any message.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.AddAgent(2, "m2", ResourcesFor(4));
  entry.AdvanceTime(milliseconds{200});
  entry.now.boot += milliseconds{60};
  REQUIRE(SelectMessages<StartRun>(entry.Submit(1, 1)).size() == 1);
  const std::uint64_t busy_link = entry.board.tasks.begin()->second.link.value;
  const auto pings = SelectMessages<Ping>(entry.AdvanceTime(milliseconds{60}));
  REQUIRE(pings.size() == 1);
  CHECK(pings[0].first != busy_link);
}

}  // namespace
}  // namespace dottereltrack::pool
