#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {
namespace {

CellOptions SixAgents() {
  CellOptions options;
  options.entries = 3;
  options.agents = 6;
  options.slots = 1;
  options.entry_settings.retention = seconds{40};
  return options;
}

// After this time the roster has spanned two racks for the retention time.
constexpr seconds kTwoRacksForRetention{45};

}  // namespace

// Guards against starting a task again that an agent may have started before it
// crashed together with the dispatcher.
TEST_CASE("no task starts twice when dispatcher and agent crash together",
          "[takeover]") {
  const auto timed = GENERATE(true, false);
  const auto killed_after = GENERATE(values<milliseconds>(
      {milliseconds{2}, milliseconds{60}, milliseconds{150}}));
  const auto returns = GENERATE(true, false);
  CAPTURE(timed, killed_after.count(), returns);
  TestCell cell(SixAgents());
  cell.RunFor(kTwoRacksForRetention);
  const int dispatcher = cell.Dispatcher();
  const int other = (dispatcher + 1) % 3;
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 6);
  const CallId call = cell.Submit(other, request);
  cell.RunFor(killed_after);
  cell.KillEntry(dispatcher);
  cell.KillAgent(0);
  if (returns) cell.RestartAgent(0);
  cell.RunFor(seconds{20});
  const CallId again = cell.Submit(other, request);
  cell.RunFor(seconds{5});
  const Answer* answer = AnswerTo(cell, call);
  REQUIRE(answer != nullptr);
  CHECK(NoNotRunTaskStarted(cell, *answer));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
  // The outcome of the task on the lost agent is unknown, unless its result had
  // arrived.
  const int unknown = CountOutcomes<Unknown>(*answer);
  CHECK(unknown == (killed_after < milliseconds{100} ? 1 : 0));
  CHECK(CountOutcomes<Done>(*answer) == 6 - unknown);
  REQUIRE(AnswerTo(cell, again) != nullptr);
  // No remaining ledger has the result of the lost agent, even if the job had
  // been answered.
  CHECK(CountOutcomes<Done>(*AnswerTo(cell, again)) == 5);
  CHECK(CountOutcomes<Unknown>(*AnswerTo(cell, again)) == 1);
}

// Guards against new tasks that are reported as unknown after the loss of both
// the dispatcher and an agent.
TEST_CASE("keys issued after the wait for ledgers run at once", "[takeover]") {
  TestCell cell(SixAgents());
  cell.RunFor(kTwoRacksForRetention);
  const int dispatcher = cell.Dispatcher();
  cell.KillEntry(dispatcher);
  cell.KillAgent(0);
  // Covers the takeover, the wait of 3.3 s for ledgers and the clock skew.
  cell.RunFor(milliseconds{4'500});
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 3);
  const CallId call = cell.Submit((dispatcher + 1) % 3, request);
  cell.RunFor(milliseconds{200});
  CHECK(IsComplete(cell, call, request));
}

// Guards against starting a key twice: an old dispatcher that is cut off but
// still has authority starts it after the takeover, and the new dispatcher
// treats it as never started.
TEST_CASE(
    "a key issued while the old dispatcher has authority does not run twice",
    "[takeover]") {
  const auto issued_after = GENERATE(values<milliseconds>(
      {milliseconds{700}, milliseconds{1'200}, milliseconds{2'000},
       milliseconds{3'500}, milliseconds{7'000}}));
  CAPTURE(issued_after.count());
  CellOptions options = SixAgents();
  options.entries = 2;
  TestCell cell(options);
  cell.RunFor(kTwoRacksForRetention);
  const int old = cell.Dispatcher();
  const int next = 1 - old;
  // The old dispatcher reaches only one agent and does not notice, because its
  // other connections stall without closing. The new one reaches the others.
  cell.CutStore(old);
  cell.Block(old, next, true);
  for (int n = 1; n < 6; ++n) {
    cell.Stall(old, cell.ProcessOfAgent(n), cell.now() + seconds{30});
  }
  cell.Block(next, cell.ProcessOfAgent(0), true);
  cell.RunFor(issued_after);
  // One task for each agent.
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 6);
  cell.Submit(old, request);
  const CallId again = cell.Submit(next, request);
  cell.RunFor(seconds{10});
  CHECK(cell.TasksStartedMoreThanOnce().empty());
  REQUIRE(cell.ReplyOf(again) != nullptr);
}

// Guards against opaque keys that are run twice, or needlessly not run, when
// agents are missing after a takeover.
TEST_CASE("new opaque keys run while fewer than two racks are missing",
          "[takeover]") {
  struct Row {
    std::vector<int> killed_agents;
    bool submitted_before;
    bool runs;
  };
  // Agents 0 and 3 are in one rack, 1 and 4 in the next.
  const auto row = GENERATE(values<Row>({{{0}, false, true},
                                         {{0, 3}, false, true},
                                         {{0, 1}, false, false},
                                         {{0, 3}, true, false}}));
  CAPTURE(row.killed_agents, row.submitted_before);
  TestCell cell(SixAgents());
  cell.RunFor(kTwoRacksForRetention);
  const int dispatcher = cell.Dispatcher();
  const int other = (dispatcher + 1) % 3;
  // All six agents run tasks of this job, so the outcome of some is unknown.
  const auto request = MakeRequest("north", "opaque", 12);
  if (row.submitted_before) cell.Submit(dispatcher, request);
  cell.RunFor(milliseconds{30});
  cell.KillEntry(dispatcher);
  for (const int n : row.killed_agents) cell.KillAgent(n);
  cell.RunFor(seconds{1});
  const CallId call = cell.Submit(other, request);
  cell.RunFor(seconds{8});
  CHECK(IsComplete(cell, call, request) == row.runs);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

}  // namespace dottereltrack::testing
