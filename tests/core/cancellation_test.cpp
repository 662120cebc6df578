#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against a cancelled task that is reported as not run although it ran.
TEST_CASE("a cancelled job reports the actual outcome of each task",
          "[cancel]") {
  struct Row {
    milliseconds after;
    int not_run;
    int unknown;
    int done;
  };
  // There are four slots, so the first four tasks start at once and run for 100
  // ms.
  const auto row = GENERATE(values<Row>({{milliseconds{0}, 6, 4, 0},
                                         {milliseconds{50}, 6, 4, 0},
                                         {milliseconds{150}, 2, 4, 4},
                                         {milliseconds{2'000}, 0, 0, 10}}));
  const auto other_entry = GENERATE(true, false);
  CAPTURE(row.after.count(), other_entry);
  CellOptions options;
  options.agents = 2;
  options.slots = 2;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 10);
  const CallId call = cell.Submit(dispatcher, request);
  cell.RunFor(row.after);
  cell.Cancel(other_entry ? 1 - dispatcher : dispatcher,
              MakeSubmissionId("north", request.key));
  cell.RunFor(seconds{3});
  const Answer* answer = AnswerTo(cell, call);
  REQUIRE(answer != nullptr);
  CHECK(CountOutcomes<NotRun>(*answer) == row.not_run);
  CHECK(CountOutcomes<Unknown>(*answer) == row.unknown);
  CHECK(CountOutcomes<Done>(*answer) == row.done);
  CHECK(NoNotRunTaskStarted(cell, *answer));
}

// Guards against a job that was cancelled and reported as not run, but is run
// by a new dispatcher after a takeover.
TEST_CASE("a job reported as not run is still not run after a takeover",
          "[cancel]") {
  const auto timed = GENERATE(true, false);
  const auto resubmitted_after =
      GENERATE(values<milliseconds>({milliseconds{0}, milliseconds{6'000}}));
  CAPTURE(timed, resubmitted_after.count());
  CellOptions options;
  options.agents = 3;
  options.slots = 1;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  // Occupies all slots, so that the cancelled job stays in the queue.
  cell.Submit(dispatcher, MakeRequest("north", TimedKey(cell.wall(), 9), 30));
  const auto request = MakeRequest("north", MakeKey(cell, timed, 1), 4);
  const CallId call = cell.Submit(dispatcher, request);
  cell.RunFor(milliseconds{50});
  cell.Cancel(dispatcher, MakeSubmissionId("north", request.key));
  cell.RunFor(milliseconds{50});
  const Answer* answer = AnswerTo(cell, call);
  REQUIRE(answer != nullptr);
  CHECK(CountOutcomes<NotRun>(*answer) == 4);
  cell.KillEntry(dispatcher);
  cell.RunFor(resubmitted_after);
  const CallId again = cell.Submit(1 - dispatcher, request);
  cell.RunFor(seconds{10});
  REQUIRE(AnswerTo(cell, again) != nullptr);
  CHECK(CountOutcomes<NotRun>(*AnswerTo(cell, again)) == 4);
  CHECK(NoNotRunTaskStarted(cell, *answer));
}

// Guards against sending one message per cancelled task.
TEST_CASE("cancelling many jobs at once sends one message per agent",
          "[cancel]") {
  CellOptions options;
  options.agents = 40;
  options.slots = 64;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  std::vector<SubmissionId> jobs;
  for (int n = 0; n < 2'500; ++n) {
    auto request = MakeRequest("north", TimedKey(cell.wall(), n), 1);
    request.tasks[0].payload = std::string("60000");
    cell.Submit(dispatcher, request);
    jobs.push_back(MakeSubmissionId("north", request.key));
  }
  cell.RunFor(milliseconds{100});
  REQUIRE(cell.starts().size() == 2'500);
  const auto sent = [&] {
    const auto n = static_cast<std::size_t>(Counter::kMessagesToAgents);
    return cell.entry(dispatcher).counters[n];
  };
  const std::uint64_t before = sent();
  cell.CancelBatch(dispatcher, jobs);
  CHECK(sent() - before == 40);
  cell.RunFor(seconds{1});
  CHECK(cell.entry(dispatcher).open_jobs_by_deadline.empty());
}

}  // namespace dottereltrack::testing
