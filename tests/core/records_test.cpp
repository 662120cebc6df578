#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against records that are lost when their agent leaves the roster, so
// that the next dispatcher runs an answered job again.
TEST_CASE("records of agents that leave survive the dispatcher", "[records]") {
  const auto how =
      GENERATE(values<std::string>({"stopped", "killed", "cut off"}));
  const auto timed = GENERATE(true, false);
  const auto returns = GENERATE(true, false);
  CAPTURE(how, timed, returns);
  CellOptions options;
  options.agents = 5;
  options.slots = 2;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 10);
  const CallId first = cell.Submit(dispatcher, request);
  cell.RunFor(seconds{1});
  REQUIRE(IsComplete(cell, first, request));
  // All records of two agents have to move.
  for (const int n : {0, 1}) {
    if (how == "stopped") cell.StopAgent(n);
    if (how == "killed") cell.KillAgent(n);
    if (how == "cut off") cell.Block(dispatcher, cell.ProcessOfAgent(n), true);
    cell.RunFor(seconds{6});
    if (returns) cell.RestartAgent(n);
  }
  if (returns && how == "cut off") {
    for (const int n : {0, 1}) {
      cell.Block(dispatcher, cell.ProcessOfAgent(n), false);
    }
  }
  cell.RunFor(seconds{2});
  cell.KillEntry(dispatcher);
  const CallId again = cell.Submit(1 - dispatcher, request);
  cell.RunFor(seconds{12});
  CHECK(IsComplete(cell, again, request));
  CHECK(cell.starts().size() == 10);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against records that the dispatcher does not track, because it
// reported their tasks as unknown before it read the ledger.
TEST_CASE("a ledger that is read late is not lost with its agent",
          "[records]") {
  const auto timed = GENERATE(true, false);
  CAPTURE(timed);
  CellOptions options;
  options.entries = 3;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  auto request = MakeRequest("north", MakeKey(cell, timed, 1), 9);
  request.deadline = seconds{1};
  cell.Submit(cell.Dispatcher(), request);
  cell.RunFor(milliseconds{500});
  cell.FreezeAgent(0, true);
  cell.KillEntry(cell.Dispatcher());
  cell.RunFor(milliseconds{500});
  const int second = cell.entry(0).authority.role == Role::kTakingOver   ? 0
                     : cell.entry(1).authority.role == Role::kTakingOver ? 1
                                                                         : 2;
  cell.Submit(second, request);
  cell.RunFor(seconds{8});
  cell.FreezeAgent(0, false);
  cell.RunFor(seconds{8});
  cell.StopAgent(0);
  cell.RunFor(seconds{4});
  REQUIRE_FALSE(cell.IsAgentAlive(0));
  cell.KillEntry(second);
  cell.RunFor(seconds{1});
  for (int n = 0; n < 3; ++n) {
    if (cell.IsEntryAlive(n)) cell.Submit(n, request);
  }
  cell.RunFor(seconds{8});
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against starts that were in flight when their dispatcher was replaced
// and that run in addition to those of the new dispatcher.
TEST_CASE("starts in flight from a crashed dispatcher are refused",
          "[records]") {
  const auto timed = GENERATE(true, false);
  const auto delay =
      GENERATE(values<milliseconds>({milliseconds{600}, milliseconds{2'000}}));
  CAPTURE(timed, delay.count());
  CellOptions options;
  options.agents = 3;
  options.slots = 2;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 6);
  if (!timed) {
    // The witnesses of an opaque key answer before the links stall.
    cell.Submit(dispatcher, request);
    cell.RunFor(BootTime{900});
  }
  for (int n = 0; n < 3; ++n) {
    cell.Stall(dispatcher, cell.ProcessOfAgent(n), cell.now() + delay);
  }
  if (timed) cell.Submit(dispatcher, request);
  cell.RunFor(milliseconds{5});
  cell.KillEntry(dispatcher);
  const CallId again = cell.Submit(1 - dispatcher, request);
  cell.RunFor(seconds{12});
  CHECK(IsComplete(cell, again, request));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

}  // namespace dottereltrack::testing
