#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against an answer that is sent to another team (P3).
TEST_CASE("two teams with the same key have two jobs", "[keys]") {
  const auto timed = GENERATE(true, false);
  CAPTURE(timed);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const std::string key = MakeKey(cell, timed, 1);
  const auto north = MakeRequest("north", key, 3);
  const auto south = MakeRequest("south", key, 5);
  const CallId first = cell.Submit(0, north);
  const CallId second = cell.Submit(1, south);
  cell.RunFor(seconds{3});
  CHECK(IsComplete(cell, first, north));
  CHECK(IsComplete(cell, second, south));
}

// Guards against a reused key that returns the answer to a different body.
TEST_CASE("a key with another body is refused", "[keys]") {
  const auto moment = GENERATE(
      values<std::string>({"open", "ended", "after a takeover", "closed"}));
  const auto timed = GENERATE(true, false);
  CAPTURE(moment, timed);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 3);
  auto reused = request;
  reused.body_digest += 1;
  cell.Submit(dispatcher, request);
  cell.RunFor(milliseconds{20});
  if (moment == "closed") {
    cell.Cancel(dispatcher, MakeSubmissionId("north", request.key));
  }
  if (moment != "open") cell.RunFor(seconds{2});
  if (moment == "after a takeover") cell.KillEntry(dispatcher);
  const CallId call = cell.Submit(1 - dispatcher, reused);
  cell.RunFor(seconds{5});
  const Refusal* refusal = RefusalOf(cell, call);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->kind == RefusalKind::kKeyReused);
  CHECK_FALSE(refusal->not_run.has_value());
}

// Guards against running a key again after its record has expired.
TEST_CASE("a timed key is refused when its record may be gone", "[keys]") {
  struct Row {
    milliseconds age;
    bool runs;
    RefusalKind refusal;
  };
  const auto row = GENERATE(
      values<Row>({{milliseconds{0}, true, {}},
                   {milliseconds{899'000}, true, {}},
                   {milliseconds{900'000}, false, RefusalKind::kKeyExpired},
                   {milliseconds{2'000'000}, false, RefusalKind::kKeyExpired},
                   {milliseconds{-400}, true, {}},
                   {milliseconds{-5'000}, false, RefusalKind::kKeyInFuture}}));
  CAPTURE(row.age.count());
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const auto request =
      MakeRequest("north", TimedKey(cell.wall() - row.age, 1), 2);
  const CallId call = cell.Submit(0, request);
  cell.RunFor(seconds{2});
  CHECK(IsComplete(cell, call, request) == row.runs);
  CHECK(cell.starts().empty() != row.runs);
  const Refusal* refusal = RefusalOf(cell, call);
  CHECK((refusal == nullptr) == row.runs);
  if (refusal != nullptr) {
    CHECK(refusal->kind == row.refusal);
    CHECK_FALSE(refusal->not_run.has_value());
  }
}

// Guards against a record that expires while its timed key is still accepted.
TEST_CASE("a timed key never runs again, however late it is resubmitted",
          "[keys]") {
  const auto later = GENERATE(values<seconds>(
      {seconds{10}, seconds{28}, seconds{31}, seconds{40}, seconds{70}}));
  const auto takeover = GENERATE(true, false);
  CAPTURE(later.count(), takeover);
  CellOptions options;
  options.entry_settings.retention = seconds{30};
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 4);
  cell.Submit(dispatcher, request);
  cell.RunFor(later);
  if (takeover) cell.KillEntry(dispatcher);
  cell.Submit(1 - dispatcher, request);
  cell.RunFor(seconds{10});
  CHECK(cell.starts().size() == 4);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

// Guards against a job that waits for a minion when none is eligible.
TEST_CASE("a job that can never run ends after the grace period", "[keys]") {
  const auto why = GENERATE(values<std::string>({"selector", "memory"}));
  const auto at_dispatcher = GENERATE(true, false);
  CAPTURE(why, at_dispatcher);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 3);
  if (why == "selector") {
    request.selector.allowed["site"] = {"nowhere"};
  } else {
    request.tasks[1].needs.memory_bytes = 1ULL << 60;
  }
  const int dispatcher = cell.Dispatcher();
  const CallId call =
      cell.Submit(at_dispatcher ? dispatcher : 1 - dispatcher, request);
  cell.RunFor(milliseconds{5'200});
  const Answer* answer = AnswerTo(cell, call);
  REQUIRE(answer != nullptr);
  CHECK_FALSE(answer->complete);
  CHECK(answer->failure == "no_eligible_minion");
  CHECK(CountOutcomes<NotRun>(*answer) >= 1);
  CHECK(NoNotRunTaskStarted(cell, *answer));
}

}  // namespace dottereltrack::testing
