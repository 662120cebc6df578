#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against a dispatcher that keeps starting tasks after its authority has
// expired during a pause that it did not notice.
TEST_CASE("a paused dispatcher starts nothing without authority", "[pause]") {
  const auto paused = GENERATE(values<milliseconds>(
      {milliseconds{500}, milliseconds{2'500}, milliseconds{4'000},
       milliseconds{9'000}, milliseconds{15'000}}));
  const auto timer_first = GENERATE(true, false);
  const auto timed = GENERATE(true, false);
  CAPTURE(paused.count(), timer_first, timed);
  CellOptions options;
  options.entries = 3;
  options.timer_first = timer_first;
  options.slots = 1;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const int other = (dispatcher + 1) % 3;
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 30);
  const CallId call = cell.Submit(dispatcher, request);
  cell.RunFor(milliseconds{150});
  cell.FreezeEntry(dispatcher, true);
  cell.RunFor(paused / 2);
  const CallId again = cell.Submit(other, request);
  cell.RunFor(paused - paused / 2);
  cell.FreezeEntry(dispatcher, false);
  cell.RunFor(seconds{15});
  CHECK(IsComplete(cell, call, request));
  CHECK(IsComplete(cell, again, request));
  CHECK(cell.starts().size() == 30);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against starts that stay in the socket buffer of a paused agent and
// run after their tasks have been placed on another agent.
TEST_CASE("a paused agent does not start what was placed elsewhere",
          "[pause]") {
  const auto paused = GENERATE(
      values<milliseconds>({milliseconds{1'000}, milliseconds{4'000},
                            milliseconds{8'000}, milliseconds{20'000}}));
  const auto timer_first = GENERATE(true, false);
  CAPTURE(paused.count(), timer_first);
  CellOptions options;
  options.timer_first = timer_first;
  options.agents = 4;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 20);
  cell.FreezeAgent(0, true);
  const CallId call = cell.Submit(0, request);
  cell.RunFor(paused);
  cell.FreezeAgent(0, false);
  cell.RunFor(seconds{10});
  const CallId later = cell.Submit(0, MakeRequest("north", "later", 8));
  cell.RunFor(seconds{5});
  const Answer* answer = AnswerTo(cell, call);
  REQUIRE(answer != nullptr);
  CHECK(NoNotRunTaskStarted(cell, *answer));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
  CHECK(cell.overcommitted_slots() == 0);
  REQUIRE(AnswerTo(cell, later) != nullptr);
  CHECK(AnswerTo(cell, later)->complete);
}

}  // namespace dottereltrack::testing
