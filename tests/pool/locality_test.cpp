#include "core/pool/entry/locality.h"

#include <catch2/catch.hpp>

#include "pool/agent_fixture.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

TEST_CASE("A task waits for a near minion only as long as it gains by it",
          "[pool][entry][locality]") {
  // Guards against tasks that wait longer than a near minion saves, or past
  // their goal, and against remote starts although a near minion is about to
  // have room.
  struct Row {
    const char* name;
    RemoteStart start;
    bool waits;
  };
  const milliseconds ms{1};
  const auto row = GENERATE_COPY(values<Row>(
      {{"near minion soon free",
        {100 * ms, 2, 40 * ms, 0 * ms, 500 * ms},
        true},
       {"wait equals the gain",
        {100 * ms, 2, 100 * ms, 0 * ms, 500 * ms},
        false},
       {"small factor", {100 * ms, 1.3, 40 * ms, 0 * ms, 500 * ms}, false},
       {"large factor", {100 * ms, 3, 150 * ms, 0 * ms, 500 * ms}, true},
       {"no difference", {100 * ms, 1, 0 * ms, 0 * ms, 500 * ms}, false},
       {"past the goal", {100 * ms, 2, 40 * ms, 0 * ms, 130 * ms}, false},
       {"just in time", {100 * ms, 2, 40 * ms, 0 * ms, 140 * ms}, true},
       {"goal has passed", {100 * ms, 2, 40 * ms, 0 * ms, -5 * ms}, false},
       {"no near minion", {100 * ms, 2, {}, 0 * ms, 500 * ms}, false},
       {"waited enough", {100 * ms, 2, 40 * ms, 100 * ms, 500 * ms}, false}}));
  CAPTURE(row.name);
  CHECK(ShouldWaitForNear(row.start) == row.waits);
}

TEST_CASE("No wait is longer than the time that it saves",
          "[pool][entry][locality]") {
  // Guards against a wait without end if the estimate of the delay stays too
  // low: the near minion never has room here.
  const int factor = GENERATE(1, 2, 3, 10);
  const int run_time = GENERATE(1, 50, 900);
  const int near_delay = GENERATE(0, 1, 40, 2'000);
  const int time_left = GENERATE(0, 60, 150, 5'000);
  RemoteStart start{milliseconds{run_time}, static_cast<double>(factor),
                    milliseconds{near_delay}, milliseconds{0},
                    milliseconds{time_left}};
  while (ShouldWaitForNear(start)) {
    REQUIRE(start.waited < TimeSavedNear(start));
    start.waited += milliseconds{1};
    start.time_left -= milliseconds{1};
  }
  CHECK(start.waited <= TimeSavedNear(start));
  CHECK(start.waited <= milliseconds{time_left});
}

// Three minions: two on rack r1, one of which has label b, and one on rack r2.
// Each has room for two tasks.
EntryFixture MakeEntryWithRacks() {
  EntryFixture entry;
  entry.board.settings.remote_factor = 2;
  const char* const racks[] = {"r1", "r1", "r2"};
  const char* const kinds[] = {"a", "b", "a"};
  for (std::uint64_t n = 0; n < 3; ++n) {
    const std::string minion = "m" + std::to_string(n + 1);
    entry.AddAgent(n + 1, minion, ResourcesFor(2));
    AgentHello hello = *entry.board.agents.Find({n + 1})->hello;
    hello.rack = racks[n];
    hello.labels = {kinds[n], racks[n]};
    entry.Step({MessageReceived{{n + 1}, hello}});
  }
  return entry;
}

std::vector<std::uint64_t> SubmitWithRules(EntryFixture* entry,
                                           std::uint64_t job,
                                           std::uint32_t tasks,
                                           const PlacementRules& rules) {
  JobSpec spec{job,
               std::string("payload"),
               {{tasks, ResourcesFor(1), milliseconds{100}, rules}}};
  std::vector<std::uint64_t> links;
  const auto effects = entry->Step({JobSubmitted{{entry->next_call++},
                                                 "request",
                                                 "menus.example",
                                                 "/checks/x",
                                                 spec,
                                                 seconds{5}}});
  for (const auto& [link, start] : SelectMessages<StartRun>(effects)) {
    links.push_back(link);
  }
  std::sort(links.begin(), links.end());
  return links;
}

TEST_CASE("Placement rules decide on which minions tasks start",
          "[pool][entry][locality]") {
  // Guards against a start on a minion without the label or beyond the limit of
  // a minion, and against remote starts although a near minion has room.
  using Links = std::vector<std::uint64_t>;
  struct Row {
    const char* name;
    std::uint32_t tasks;
    PlacementRules rules;
    Links links;
  };
  const auto row = GENERATE(
      values<Row>({{"label", 3, {"b", "", 0, false}, {2, 2}},
                   {"limit of a minion", 4, {"", "", 1, false}, {1, 2, 3}},
                   {"label and limit", 2, {"b", "", 1, false}, {2}},
                   {"data on r2", 2, {"", "r2", 0, false}, {3, 3}},
                   {"data on r1", 4, {"", "r1", 0, false}, {1, 1, 2, 2}},
                   {"data nowhere", 2, {"", "r9", 1, false}, {1, 2}},
                   {"one rack", 4, {"", "", 0, true}, {1, 1, 2, 2}},
                   {"one rack, with label", 2, {"b", "", 0, true}, {2, 2}}}));
  CAPTURE(row.name);
  EntryFixture entry = MakeEntryWithRacks();
  CHECK(SubmitWithRules(&entry, 1, row.tasks, row.rules) == row.links);
}

TEST_CASE("A job that requires a label that no minion has is refused at once",
          "[pool][entry][locality]") {
  // Guards against jobs that wait until their deadline although no minion may
  // run them.
  EntryFixture entry = MakeEntryWithRacks();
  entry.AdvanceTime(seconds{3});
  CHECK(SubmitWithRules(&entry, 1, 1, {"c", "", 0, false}).empty());
  CHECK(entry.board.active_jobs.empty());
}

TEST_CASE("A lost run counts toward the limit of its minion",
          "[pool][entry][locality]") {
  // Guards against too many tasks of a step on one minion after its link was
  // lost, while the runs may live on.
  EntryFixture entry = MakeEntryWithRacks();
  REQUIRE(SubmitWithRules(&entry, 1, 2, {"b", "", 1, false}).size() == 1);
  const AgentHello hello = *entry.board.agents.Find({2})->hello;
  entry.Step({LinkClosed{{2}}});
  const auto effects = entry.Step(
      {MessageReceived{{9}, hello},
       MessageReceived{{9}, LoadReport{0, ResourcesFor(2), true, false, 0}}});
  CHECK(SelectMessages<StartRun>(effects).empty());
}

TEST_CASE("A hot rack sends tasks elsewhere when the wait does not pay",
          "[pool][entry][locality]") {
  // Pattern: many jobs want the same rack. Guards against a queue before one
  // rack while others are idle, and against remote starts that a short wait
  // makes needless.
  struct Row {
    const char* name;
    double remote_factor;
    std::size_t remote_starts;
  };
  // The two tasks that find r2 full may expect room after 50 and 100 ms.
  const auto row = GENERATE(values<Row>({{"waiting never pays", 1.2, 2},
                                         {"waiting pays for one", 1.9, 1},
                                         {"waiting pays for both", 3, 0}}));
  CAPTURE(row.name);
  EntryFixture entry = MakeEntryWithRacks();
  entry.board.settings.remote_factor = row.remote_factor;
  const auto links = SubmitWithRules(&entry, 1, 4, {"", "r2", 0, false});
  CHECK(std::count(links.begin(), links.end(), 3U) == 2);
  CHECK(links.size() - 2 == row.remote_starts);
}

TEST_CASE("An agent refuses a start whose label its minion lacks",
          "[pool][agent][locality]") {
  // Guards against a start on another instance than the entry has chosen.
  const std::string label = GENERATE("a", "b");
  CAPTURE(label);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  MinionReport report = MakeMinionReport("m1", 1'000, 2);
  report.labels = {"a", "r1"};
  agent.Step({MinionReported{report}});
  const auto effects = agent.Step(
      {EntryMessage{{1},
                    StartRun{1, MakeRunKey(0), std::string("payload"),
                             kTaskNeeds, milliseconds{100}, false, label}}});
  CHECK(SelectEffects<CallStart>(effects).size() == (label == "a" ? 1U : 0U));
}

}  // namespace
}  // namespace dottereltrack::pool
