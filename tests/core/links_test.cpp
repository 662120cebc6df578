#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against tasks that are lost or started twice when a connection breaks.
TEST_CASE("a job survives broken connections", "[links]") {
  struct Row {
    bool peers;
    milliseconds after;
    int cuts;
  };
  const auto row = GENERATE(values<Row>({{false, milliseconds{0}, 1},
                                         {false, milliseconds{1}, 1},
                                         {false, milliseconds{50}, 5},
                                         {true, milliseconds{0}, 1},
                                         {true, milliseconds{60}, 3}}));
  const auto timed = GENERATE(true, false);
  CAPTURE(row.peers, row.after.count(), row.cuts, timed);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 40);
  const CallId call = cell.Submit(1 - dispatcher, request);
  for (int n = 0; n < row.cuts; ++n) {
    cell.RunFor(row.after);
    if (row.peers) {
      cell.CutLinksBetween(0, 1);
    } else {
      for (int i = 0; i < cell.agent_count(); ++i) {
        cell.CutLinks(dispatcher, i);
      }
    }
  }
  cell.RunFor(seconds{8});
  CHECK(IsComplete(cell, call, request));
  CHECK(cell.starts().size() == 40);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against two entries that have lost only the connection to each other
// and take over from each other as fast as the store can write.
TEST_CASE("a lasting disconnection of two entries causes few store calls",
          "[links]") {
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const std::uint64_t before = cell.store_calls();
  cell.Block(0, 1, true);
  cell.RunFor(seconds{60});
  CHECK(cell.store_calls() - before < 60 * 5);
  cell.Block(0, 1, false);
  cell.RunFor(seconds{15});
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 3);
  const CallId call = cell.Submit(0, request);
  cell.RunFor(seconds{5});
  CHECK(IsComplete(cell, call, request));
}

// Guards against accepting results from a replaced minion process, and against
// running in the new process what was sent to the old one.
TEST_CASE("tasks that ran on a replaced minion end as unknown", "[links]") {
  const auto after = GENERATE(values<milliseconds>(
      {milliseconds{0}, milliseconds{1}, milliseconds{50}}));
  CAPTURE(after.count());
  CellOptions options;
  options.agents = 2;
  options.slots = 4;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 8);
  const CallId call = cell.Submit(cell.Dispatcher(), request);
  cell.RunFor(after);
  cell.ReplaceMinion(0);
  cell.RunFor(seconds{5});
  const Answer* answer = AnswerTo(cell, call);
  REQUIRE(answer != nullptr);
  CHECK(NoNotRunTaskStarted(cell, *answer));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
  CHECK(CountOutcomes<Unknown>(*answer) == (after > milliseconds{0} ? 4 : 0));
}

}  // namespace dottereltrack::testing
