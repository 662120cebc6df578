#include <catch2/catch.hpp>
#include <set>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;

// Runs a turn in which the connections of some callers have ended without the
// event loop having noticed it.
std::vector<EntryEffect> StepWithout(EntryFixture* entry,
                                     const std::set<CallId>& gone,
                                     std::size_t* checks) {
  return Advance(&entry->board, {EntryTick{}}, entry->now,
                 [&](const CallId& call) {
                   ++*checks;
                   return !gone.contains(call);
                 });
}

}  // namespace

TEST_CASE("A job is not started for callers whose connection has ended",
          "[pool][entry][twice]") {
  // Guards against two concurrent runs of a task: a client whose connection was
  // reset may submit its job to another entry before this one notices.
  struct Row {
    const char* name;
    std::uint64_t callers;
    std::set<CallId> gone;
    std::size_t starts;
    std::size_t checks;
  };
  const auto row = GENERATE(values<Row>({
      {"connected", 1, {}, 2, 1},
      {"gone", 1, {{1}}, 0, 1},
      {"one of two gone", 2, {{1}}, 2, 3},
      {"both gone", 2, {{1}, {2}}, 0, 2},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  for (std::uint64_t n = 0; n < row.callers; ++n) entry.Submit(kJob, 2);
  entry.AddAgent(1, "m1", {});
  const LoadReport load{0, ResourcesFor(4), true, true, 0};
  std::size_t checks = 0;
  const auto effects = Advance(&entry.board, {MessageReceived{{1}, load}},
                               entry.now, [&](const CallId& call) {
                                 ++checks;
                                 return !row.gone.contains(call);
                               });
  CHECK(SelectMessages<StartRun>(effects).size() == row.starts);
  CHECK(checks == row.checks);
  CHECK(entry.board.active_jobs.size() == (row.starts > 0 ? 1U : 0U));
  // Connections are checked before the first start only.
  checks = 0;
  StepWithout(&entry, row.gone, &checks);
  CHECK(checks == 0);
}

TEST_CASE("Places that a disconnected caller leaves go to checked callers",
          "[pool][entry][twice]") {
  // Guards against a start for a caller that is chosen only when the job of
  // another one is dropped, and so was not checked with it.
  EntryFixture entry;
  for (std::uint64_t job = kJob; job < kJob + 3; ++job) entry.Submit(job, 1);
  entry.AddAgent(1, "m1", {});
  const LoadReport load{0, ResourcesFor(1), true, true, 0};
  const std::set<CallId> gone{{1}, {2}};
  const auto effects =
      Advance(&entry.board, {MessageReceived{{1}, load}}, entry.now,
              [&](const CallId& call) { return !gone.contains(call); });
  const auto starts = SelectMessages<StartRun>(effects);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].second.run.task.job == kJob + 2);
}

}  // namespace dottereltrack::pool
