#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against two dispatchers of one generation, or a cell that never
// recovers, when the store fails during a takeover or a change of the roster.
TEST_CASE("a faulty store only delays takeovers and roster changes",
          "[store]") {
  const auto mode =
      GENERATE(values<StoreMode>({StoreMode::kDown, StoreMode::kLosesReplies,
                                  StoreMode::kWritesLate, StoreMode::kSlow}));
  const auto change =
      GENERATE(values<std::string>({"takeover", "enrolment", "loss", "both"}));
  CAPTURE(static_cast<int>(mode), change);
  CellOptions options;
  options.entries = 3;
  options.agents = 4;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const int other = (dispatcher + 1) % 3;
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 8);
  const CallId call = cell.Submit(other, request);
  cell.RunFor(milliseconds{30});
  const std::uint64_t before = cell.store_calls();
  cell.SetStoreMode(mode);
  if (change != "takeover") cell.KillAgent(0);
  if (change == "enrolment") cell.RestartAgent(0);
  if (change == "takeover" || change == "both") cell.KillEntry(dispatcher);
  cell.RunFor(seconds{9});
  CHECK(cell.store_calls() - before < 3 * 9 * 5);
  cell.SetStoreMode(StoreMode::kUp);
  cell.RunFor(seconds{20});
  const Answer* answer = AnswerTo(cell, call);
  if (answer != nullptr) CHECK(NoNotRunTaskStarted(cell, *answer));
  CHECK(cell.ReplyOf(call) != nullptr);
  const auto again = MakeRequest("north", TimedKey(cell.wall(), 2), 8);
  const CallId later = cell.Submit(other, again);
  cell.RunFor(seconds{5});
  CHECK(IsComplete(cell, later, again));
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against a cell that stops dispatching while the store is down.
TEST_CASE("dispatching goes on while the store is down", "[store]") {
  const auto timed = GENERATE(true, false);
  CAPTURE(timed);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  cell.SetStoreMode(StoreMode::kDown);
  for (int n = 0; n < 20; ++n) {
    cell.RunFor(seconds{5});
    const auto request = MakeRequest("north", MakeKey(cell, timed, n), 5);
    const CallId call = cell.Submit(n % 2, request);
    cell.RunFor(seconds{1});
    CHECK(IsComplete(cell, call, request));
  }
}

// Guards against a refusal that states not_run for a key that may have run.
TEST_CASE(
    "without a dispatcher only keys generated here are reported as not run",
    "[store]") {
  const auto made_here = GENERATE(true, false);
  const auto submitted_before = GENERATE(true, false);
  CAPTURE(made_here, submitted_before);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const int other = 1 - dispatcher;
  const auto request = MakeRequest("north", "key", 3);
  const auto submit = [&] {
    return made_here ? cell.SubmitWithoutKey(other, request)
                     : cell.Submit(other, request);
  };
  cell.SetStoreMode(StoreMode::kDown);
  CallId call;
  if (submitted_before) {
    call = submit();
    cell.RunFor(milliseconds{20});
  }
  cell.KillEntry(dispatcher);
  cell.RunFor(milliseconds{100});
  if (!submitted_before) call = submit();
  cell.RunFor(seconds{12});
  const Refusal* refusal = RefusalOf(cell, call);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->kind == RefusalKind::kNoDispatcher);
  CHECK(refusal->not_run.has_value() == (made_here && !submitted_before));
}

// Guards against an entry that cannot find its peers when it starts while the
// store is down.
TEST_CASE(
    "an entry that starts while the store is down joins through its seeds",
    "[store]") {
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  CellConfig config;
  config.drained_minions = {"minion-0"};
  cell.SetConfig(0, 0, config);
  cell.RunFor(seconds{1});
  const int other = 1 - cell.Dispatcher();
  cell.SetStoreMode(StoreMode::kDown);
  cell.KillEntry(other);
  cell.RunFor(seconds{1});
  cell.RestartEntry(other);
  cell.RunFor(seconds{2});
  CHECK(cell.entry(other).stored_config == cell.stored_config());
  CHECK(cell.entry(other).stored_table == cell.stored_table());
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 3);
  const CallId call = cell.Submit(other, request);
  cell.RunFor(seconds{2});
  CHECK(IsComplete(cell, call, request));
}

}  // namespace dottereltrack::testing
