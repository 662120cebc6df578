#include <catch2/catch.hpp>

#include "core/pool/entry/unstarted_tasks.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;

// The only reply among the effects.
Reply OnlyReply(const std::vector<EntryEffect>& effects) {
  const auto replies = SelectEffects<Reply>(effects);
  REQUIRE(replies.size() == 1);
  return replies[0];
}

TEST_CASE("A job is answered when its last task is done", "[pool][entry]") {
  // Guards against replies before all tasks are done, and against replies that
  // are delayed until the next tick.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 2));
  REQUIRE(starts.size() == 2);
  const auto first = entry.Step({MessageReceived{
      {1}, RunEnded{starts[0].second.run, RunEnd::kDone, milliseconds{90}}}});
  CHECK(SelectEffects<Reply>(first).empty());
  const auto second = entry.Step({MessageReceived{
      {1}, RunEnded{starts[1].second.run, RunEnd::kDone, milliseconds{95}}}});
  CHECK(OnlyReply(second).kind == ReplyKind::kCompleted);
}

TEST_CASE("The end of a run decides whether its task is started again",
          "[pool][entry]") {
  // Guards against tasks that are lost, or started again needlessly.
  struct Row {
    RunEnd end;
    std::size_t starts;
    int failures;
  };
  const auto row = GENERATE(values<Row>({{RunEnd::kDone, 0, 0},
                                         {RunEnd::kFailed, 1, 1},
                                         {RunEnd::kStalled, 1, 0},
                                         {RunEnd::kStopped, 1, 0},
                                         {RunEnd::kLost, 1, 0}}));
  CAPTURE(ToString(row.end));
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.AddAgent(2, "m2", ResourcesFor(4), 0.5);
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].first == 1);
  const RunKey run = starts[0].second.run;
  const auto again = SelectMessages<StartRun>(entry.Step(
      {MessageReceived{{1}, RunEnded{run, row.end, milliseconds{90}}}}));
  REQUIRE(again.size() == row.starts);
  if (!again.empty()) CHECK(again[0].second.run.number > run.number);
  const TaskRow* task = entry.board.tasks.Find(run.task);
  // The tasks of a completed job are removed.
  REQUIRE((task == nullptr) == (row.end == RunEnd::kDone));
  if (task != nullptr) CHECK(task->failures == row.failures);
}

TEST_CASE("A failed run is tried on another minion", "[pool][entry]") {
  // Guards against a minion that fails all runs and, being idle, is chosen for
  // each retry.
  EntryFixture entry;
  entry.AddAgent(1, "fast", ResourcesFor(4));
  entry.AddAgent(2, "slow", ResourcesFor(4), 1.0);
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].first == 1);
  const auto again = SelectMessages<StartRun>(entry.Step({MessageReceived{
      {1}, RunEnded{starts[0].second.run, RunEnd::kFailed, milliseconds{5}}}}));
  REQUIRE(again.size() == 1);
  CHECK(again[0].first == 2);
}

TEST_CASE("A job fails when a task has failed on three minions",
          "[pool][entry]") {
  // Guards against endless retries of jobs that cannot succeed, and against
  // failing a job because of two faulty minions.
  EntryFixture entry;
  for (std::uint64_t link = 1; link <= 4; ++link) {
    entry.AddAgent(link, "m" + std::to_string(link), ResourcesFor(4));
  }
  auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  std::vector<EntryEffect> effects;
  for (int failures = 1; failures <= 3; ++failures) {
    CAPTURE(failures);
    REQUIRE(starts.size() == 1);
    effects = entry.Step({MessageReceived{
        {starts[0].first},
        RunEnded{starts[0].second.run, RunEnd::kFailed, milliseconds{5}}}});
    starts = SelectMessages<StartRun>(effects);
  }
  CHECK(starts.empty());
  CHECK(OnlyReply(effects).kind == ReplyKind::kFailed);
}

TEST_CASE("A job that has ended is forgotten after the retention period",
          "[pool][entry]") {
  // Guards against rows of ended jobs that are kept for ever because a task
  // counts as being stopped although its run has ended.
  const auto end = GENERATE(values({RunEnd::kDone, RunEnd::kFailed}));
  CAPTURE(ToString(end));
  EntryFixture entry;
  for (std::uint64_t link = 1; link <= 4; ++link) {
    entry.AddAgent(link, "m" + std::to_string(link), ResourcesFor(4));
  }
  auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  while (!starts.empty()) {
    starts = SelectMessages<StartRun>(entry.Step({MessageReceived{
        {starts[0].first},
        RunEnded{starts[0].second.run, end, milliseconds{5}}}}));
  }
  REQUIRE(entry.board.active_jobs.empty());
  entry.AdvanceTime(entry.board.settings.outcome_retention);
  CHECK(entry.board.jobs.empty());
  CHECK(entry.board.tasks.empty());
}

TEST_CASE(
    "The task of a lost run is not started again before the run has ended",
    "[pool][entry][twice]") {
  // Guards against two concurrent runs of a task after a network partition
  // between entry and agent: the run may go on until the agent's timeouts
  // expire.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.AddAgent(2, "m2", ResourcesFor(4), 1.0);
  REQUIRE(SelectMessages<StartRun>(entry.Submit(kJob, 1)).size() == 1);
  const milliseconds bound = entry.board.settings.max_lost_run_time;
  CHECK(SelectMessages<StartRun>(entry.Step({LinkClosed{{1}}})).empty());
  CHECK(SelectMessages<StartRun>(entry.AdvanceTime(bound - milliseconds{1}))
            .empty());
  const auto starts =
      SelectMessages<StartRun>(entry.AdvanceTime(milliseconds{1}));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].first == 2);
}

TEST_CASE(
    "The task of a lost run is started again once the agent reports settled",
    "[pool][entry][twice]") {
  // Guards against waiting for the upper bound although the agent has confirmed
  // that the runs have ended, and against not waiting although it has not.
  const bool settled = GENERATE(false, true);
  CAPTURE(settled);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  REQUIRE(SelectMessages<StartRun>(entry.Submit(kJob, 1)).size() == 1);
  entry.Step({LinkClosed{{1}}});
  const AgentHello hello{9, "m1", "menus", "north", "r1", ResourcesFor(4)};
  const LoadReport load{0, ResourcesFor(4), true, settled, 0};
  const auto effects =
      entry.Step({MessageReceived{{5}, hello}, MessageReceived{{5}, load}});
  CHECK(SelectMessages<StartRun>(effects).size() == (settled ? 1U : 0U));
}

TEST_CASE("The end of an earlier run is ignored", "[pool][entry]") {
  // Guards against a delayed message that completes a task with a newer run.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  const RunKey first = starts[0].second.run;
  entry.Step({MessageReceived{{1}, RunEnded{first, RunEnd::kLost, {}}}});
  const auto effects =
      entry.Step({MessageReceived{{1}, RunEnded{first, RunEnd::kDone, {}}}});
  CHECK(SelectEffects<Reply>(effects).empty());
}

TEST_CASE("The runs of a caller that disconnects are stopped",
          "[pool][entry]") {
  // Guards against work that no caller waits for, and against two runs when the
  // client submits the job again elsewhere.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 2));
  const auto stops =
      SelectMessages<StopRun>(entry.Step({CallerDisconnected{{1}}}));
  REQUIRE(stops.size() == 2);
  CHECK(stops[0].second.run == starts[0].second.run);
}

TEST_CASE(
    "A job resubmitted after a disconnect waits for its earlier runs to end",
    "[pool][entry][twice]") {
  // Guards against a second run while the stop of the first is in flight.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  entry.Step({CallerDisconnected{{1}}});
  CHECK(SelectMessages<StartRun>(entry.Submit(kJob, 1)).empty());
  const auto again = SelectMessages<StartRun>(entry.Step({MessageReceived{
      {1},
      RunEnded{starts[0].second.run, RunEnd::kStopped, milliseconds{5}}}}));
  CHECK(again.size() == 1);
}

TEST_CASE("A repeated submission does not run a job again", "[pool][entry]") {
  // Guards against running, and charging for, a job twice when a client repeats
  // a request.
  const bool has_ended = GENERATE(false, true);
  CAPTURE(has_ended);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  const EntryEvent end = MessageReceived{
      {1}, RunEnded{starts[0].second.run, RunEnd::kDone, milliseconds{9}}};
  if (has_ended) entry.Step({end});
  const auto repeated = entry.Submit(kJob, 1);
  CHECK(SelectMessages<StartRun>(repeated).empty());
  CHECK(SelectEffects<Reply>(repeated).size() == (has_ended ? 1U : 0U));
  if (has_ended) return;
  CHECK(SelectEffects<Reply>(entry.Step({end})).size() == 2);
}

TEST_CASE("The reply to a job past its deadline depends on whether it began",
          "[pool][entry]") {
  // Guards against a refusal that claims "not run" for a job that has begun.
  const bool has_begun = GENERATE(false, true);
  CAPTURE(has_begun);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(has_begun ? 1 : 0));
  entry.Submit(kJob, 1, milliseconds{500});
  const auto effects = entry.AdvanceTime(milliseconds{500});
  CHECK(OnlyReply(effects).kind ==
        (has_begun ? ReplyKind::kGivenUp : ReplyKind::kOverloaded));
  CHECK(SelectMessages<StopRun>(effects).size() == (has_begun ? 1U : 0U));
}

TEST_CASE(
    "A job is refused early if there are no minions, but not by a new entry",
    "[pool][entry]") {
  // Guards against keeping callers waiting that cannot be served, and against
  // refusing all callers while all agents reconnect after a start.
  const bool is_new = GENERATE(false, true);
  CAPTURE(is_new);
  EntryFixture entry;
  if (is_new) entry.board.started_at = entry.now.boot;
  entry.Submit(kJob, 1);
  const auto effects = entry.AdvanceTime(milliseconds{100});
  if (is_new) {
    CHECK(SelectEffects<Reply>(effects).empty());
  } else {
    CHECK(OnlyReply(effects).kind == ReplyKind::kNoMinions);
  }
}

TEST_CASE("An ended job keeps only what a repeated submission needs",
          "[pool][entry]") {
  // Guards against outcomes that fill the memory: payloads that are kept with
  // them, and rows of jobs that were refused before they ran.
  struct Row {
    const char* name;
    int room;
    std::vector<EntryEffect> (*end)(EntryFixture*);
    bool is_kept;
  };
  const auto row = GENERATE(values<Row>({
      {"refused at its deadline", 0,
       [](EntryFixture* entry) { return entry->AdvanceTime(seconds{2}); },
       false},
      {"left by its caller before it has run", 0,
       [](EntryFixture* entry) {
         return entry->Step({CallerDisconnected{{1}}});
       },
       false},
      {"given up at its deadline", 1,
       [](EntryFixture* entry) { return entry->AdvanceTime(seconds{2}); },
       true},
      {"cancelled before it has run", 0,
       [](EntryFixture* entry) {
         return entry->Step({JobCancelRequested{{90}, kJob}});
       },
       true},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(row.room));
  entry.Submit(kJob, 1);
  REQUIRE(entry.board.active_jobs.size() == 1);
  row.end(&entry);
  REQUIRE(entry.board.active_jobs.empty());
  const JobRow* job = entry.board.jobs.Find(kJob);
  REQUIRE((job != nullptr) == row.is_kept);
  if (job != nullptr) CHECK(job->payload->empty());
  CHECK(CountWaitingTasks(entry.board) == 0);
}

}  // namespace
}  // namespace dottereltrack::pool
