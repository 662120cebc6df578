#include <catch2/catch.hpp>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;

EntryEvent EndOf(const StartRun& start, RunEnd end) {
  return MessageReceived{{1}, RunEnded{start.run, end, milliseconds{9}}};
}

std::vector<ReplyKind> RepliesOf(const std::vector<EntryEffect>& effects) {
  std::vector<ReplyKind> kinds;
  for (const Reply& it : SelectEffects<Reply>(effects)) {
    kinds.push_back(it.kind);
  }
  return kinds;
}

// An entry that has started a job's only task, with its start.
struct StartedJob {
  StartedJob() {
    entry.AddAgent(1, "m1", ResourcesFor(4));
    const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
    REQUIRE(starts.size() == 1);
    start = starts[0].second;
  }

  EntryFixture entry;
  StartRun start;
};

}  // namespace

TEST_CASE("A late copy of a submission does not run a job that has ended",
          "[pool][entry]") {
  // Guards against a cancelled job that runs again when a copy of its
  // submission arrives seconds later, and against a second run of a completed
  // one.
  struct Row {
    const char* name;
    void (*end)(StartedJob* job);
    ReplyKind reply;
  };
  const auto row = GENERATE(values<Row>({
      {"cancelled",
       [](StartedJob* it) {
         it->entry.Step({JobCancelRequested{{90}, kJob}});
         it->entry.Step({EndOf(it->start, RunEnd::kStopped)});
       },
       ReplyKind::kCancelled},
      {"cancelled, but done before the stop",
       [](StartedJob* it) {
         it->entry.Step({JobCancelRequested{{90}, kJob}});
         it->entry.Step({EndOf(it->start, RunEnd::kDone)});
       },
       ReplyKind::kCancelled},
      {"completed",
       [](StartedJob* it) {
         it->entry.Step({EndOf(it->start, RunEnd::kDone)});
       },
       ReplyKind::kCompleted},
      {"done after its caller has left",
       [](StartedJob* it) {
         it->entry.Step({CallerDisconnected{{1}}});
         it->entry.Step({EndOf(it->start, RunEnd::kDone)});
       },
       ReplyKind::kCompleted},
  }));
  const auto delay =
      GENERATE(values({milliseconds{0}, milliseconds{4'000},
                       milliseconds{15'000}, milliseconds{59'000}}));
  CAPTURE(row.name, delay.count());
  StartedJob job;
  row.end(&job);
  job.entry.AdvanceTime(delay);
  const auto effects = job.entry.Submit(kJob, 1);
  CHECK(SelectMessages<StartRun>(effects).empty());
  CHECK(RepliesOf(effects) == std::vector{row.reply});
  // Nothing starts later either.
  CHECK(SelectMessages<StartRun>(job.entry.AdvanceTime(milliseconds{25}))
            .empty());
}

TEST_CASE("A job that has run is not refused as one that has not",
          "[pool][entry]") {
  // Guards against a 429 or 503 "was not run" for a job whose earlier
  // submission had begun.
  struct Row {
    const char* name;
    void (*limit)(EntryFixture* entry);
  };
  const auto row = GENERATE(values<Row>({
      {"backlog",
       [](EntryFixture* entry) { entry->Submit(kJob + 1, 200, seconds{60}); }},
      {"stopping",
       [](EntryFixture* entry) {
         entry->Step({EntryStopRequested{}});
         entry->now.boot += entry->board.settings.max_shutdown_time;
       }},
  }));
  CAPTURE(row.name);
  StartedJob job;
  job.entry.Step({CallerDisconnected{{1}}});
  job.entry.Step({EndOf(job.start, RunEnd::kStopped)});
  row.limit(&job.entry);
  CHECK(RepliesOf(job.entry.Submit(kJob, 1, milliseconds{150})) ==
        std::vector{ReplyKind::kGivenUp});
}

TEST_CASE("A job that has run is not refused at its deadline as not run",
          "[pool][entry]") {
  // Guards against the same when the later submission waits in vain.
  StartedJob job;
  job.entry.Step({CallerDisconnected{{1}}});
  job.entry.Step({EndOf(job.start, RunEnd::kStopped)});
  const LoadReport full{1, ResourcesFor(0), true, true, 0};
  job.entry.Step({MessageReceived{{1}, full}});
  CHECK(RepliesOf(job.entry.Submit(kJob, 1, milliseconds{500})).empty());
  CHECK(RepliesOf(job.entry.AdvanceTime(milliseconds{500})) ==
        std::vector{ReplyKind::kGivenUp});
}

TEST_CASE("The memory of ended jobs is bounded in time and number",
          "[pool][entry]") {
  // Guards against memory that grows with the jobs of a day: an entry of a pool
  // with 1,400 jobs per second serves 93 of them.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.board.settings.max_past_jobs = 10;
  for (std::uint64_t n = 0; n < 30; ++n) {
    const auto starts = SelectMessages<StartRun>(entry.Submit(kJob + n, 1));
    REQUIRE(starts.size() == 1);
    entry.Step({EndOf(starts[0].second, RunEnd::kDone)});
    entry.Step({MessageReceived{
        {1}, LoadReport{n + 1, ResourcesFor(4), true, true, 0}}});
    entry.AdvanceTime(milliseconds{25});
    CHECK(entry.board.past_jobs.size() <= 10);
  }
  CHECK(entry.board.past_jobs.Contains(kJob + 29));
  entry.AdvanceTime(entry.board.settings.past_job_retention);
  CHECK(entry.board.past_jobs.empty());
  CHECK(entry.board.past_jobs_by_age.empty());
}

}  // namespace dottereltrack::pool
