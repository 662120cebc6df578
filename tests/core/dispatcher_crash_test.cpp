#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against a job that is run twice or lost when its dispatcher crashes.
TEST_CASE("a job survives the crash of its dispatcher", "[takeover]") {
  const auto timed = GENERATE(true, false);
  const auto killed_after = GENERATE(values<milliseconds>(
      {milliseconds{1}, milliseconds{3}, milliseconds{60}, milliseconds{150}}));
  const auto resubmitted_after = GENERATE(values<milliseconds>(
      {milliseconds{0}, milliseconds{700}, milliseconds{8'000}}));
  CAPTURE(timed, killed_after.count(), resubmitted_after.count());
  CellOptions options;
  options.entries = 3;
  options.agents = 4;
  options.slots = 2;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  REQUIRE(dispatcher >= 0);
  const int other = (dispatcher + 1) % 3;
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 12);
  cell.Submit(dispatcher, request);
  cell.RunFor(killed_after);
  cell.KillEntry(dispatcher);
  cell.RunFor(resubmitted_after);
  const CallId again = cell.Submit(other, request);
  cell.RunFor(seconds{10});
  CHECK(IsComplete(cell, again, request));
  CHECK(cell.starts().size() == 12);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against calls at other entries that are lost with the dispatcher, and
// against a slow takeover.
TEST_CASE("callers of other entries do not notice a takeover", "[takeover]") {
  const auto timed = GENERATE(true, false);
  CAPTURE(timed);
  CellOptions options;
  options.entries = 3;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 6);
  const CallId call = cell.Submit((dispatcher + 1) % 3, request);
  cell.RunFor(milliseconds{40});
  cell.KillEntry(dispatcher);
  cell.RunFor(milliseconds{600});
  CHECK(IsComplete(cell, call, request));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against a new dispatcher that reports tasks as not run before it has
// read all ledgers: the first ledger has the failed task of the job, while
// other tasks of the job run on an agent whose inventory arrives later.
TEST_CASE("nothing is reported as not run before the ledgers are read",
          "[takeover]") {
  const auto action = GENERATE(values<std::string>({"fail", "cancel"}));
  const auto moment = GENERATE(values<milliseconds>(
      {milliseconds{0}, milliseconds{5}, milliseconds{400}}));
  CAPTURE(action, moment.count());
  CellOptions options;
  options.entries = 2;
  options.agents = 3;
  options.slots = 2;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  if (action == "fail") cell.SetMinionFailing(0, true);
  auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 9);
  for (TaskSpec& task : request.tasks) task.payload = "900" + *task.payload;
  const CallId first = cell.Submit(1 - dispatcher, request);
  cell.RunFor(milliseconds{3});
  // The ledger of one agent arrives late.
  cell.FreezeAgent(2, true);
  cell.KillEntry(dispatcher);
  cell.RunFor(milliseconds{300} + moment);
  if (action == "cancel") {
    cell.Cancel(1 - dispatcher, MakeSubmissionId("north", request.key));
  }
  cell.RunFor(milliseconds{500});
  cell.FreezeAgent(2, false);
  cell.RunFor(seconds{70});
  const Answer* answer = AnswerTo(cell, first);
  REQUIRE(answer != nullptr);
  CHECK_FALSE(answer->complete);
  CHECK(NoNotRunTaskStarted(cell, *answer));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

}  // namespace dottereltrack::testing
