#include "core/pool/entry/unstarted_tasks.h"

#include <catch2/catch.hpp>
#include <set>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;

// A load report that covers all starts so far.
LoadReport ReportOfRoom(int tasks, std::size_t starts) {
  return {starts, ResourcesFor(tasks), true, true, 0};
}

std::set<std::uint32_t> StartedIndexes(
    const std::vector<EntryEffect>& effects) {
  std::set<std::uint32_t> indexes;
  for (const auto& [link, start] : SelectMessages<StartRun>(effects)) {
    indexes.insert(start.run.task.index);
  }
  return indexes;
}

TEST_CASE("Waiting tasks take rows only when they are started",
          "[pool][entry]") {
  // Guards against jobs of many tasks that fill the memory of their entry while
  // they wait, and against tasks that are left out or started twice.
  struct Row {
    std::uint32_t tasks;
    int room;
    std::size_t rows;
    std::size_t ranges;
  };
  const auto row = GENERATE(values<Row>({{1, 0, 0, 1},
                                         {1'000, 0, 0, 1},
                                         {1'000, 4, 4, 1},
                                         {4, 4, 4, 0},
                                         {3, 4, 3, 0}}));
  CAPTURE(row.tasks, row.room);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(row.room));
  auto started = StartedIndexes(entry.Submit(kJob, row.tasks, seconds{600}));
  CHECK(entry.board.tasks.size() == row.rows);
  CHECK(entry.board.unstarted_tasks.size() == row.ranges);
  CHECK(CountWaitingTasks(entry.board) == row.tasks - row.rows);
  while (started.size() < row.tasks) {
    const auto more = StartedIndexes(
        entry.Step({MessageReceived{{1}, ReportOfRoom(100, started.size())}}));
    REQUIRE_FALSE(more.empty());
    for (const std::uint32_t index : more) {
      CAPTURE(index);
      REQUIRE(started.insert(index).second);
    }
  }
  CHECK(*started.rbegin() == row.tasks - 1);
  CHECK(entry.board.waiting_cpu_millis.empty());
}

TEST_CASE("A repeated submission adds only tasks that are not known",
          "[pool][entry]") {
  // Guards against a second run of a task whose first run has not ended, and
  // against a job that lacks tasks.
  const auto started = GENERATE(values<std::uint32_t>({0, 1, 4}));
  CAPTURE(started);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(static_cast<int>(started)));
  entry.Submit(kJob, 4, seconds{1});
  entry.AdvanceTime(seconds{1});
  REQUIRE(entry.board.active_jobs.empty());
  entry.Submit(kJob, 4, seconds{600});
  const JobRow* job = entry.board.jobs.Find(kJob);
  REQUIRE(job != nullptr);
  CHECK(job->open_tasks == 4);
  CHECK(entry.board.tasks.size() == started);
  CHECK(CountWaitingTasks(entry.board) == 4 - started);
}

TEST_CASE("A task that may have crashed a minion gets a row of its own",
          "[pool][entry][crash]") {
  // Guards against suspect tasks that are placed as others are, and against the
  // loss of the tasks before and after them.
  const auto index = GENERATE(values<std::uint32_t>({0, 2, 4}));
  CAPTURE(index);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(0));
  entry.Submit(kJob, 5, seconds{600});
  const CrashReport report{{"old", 1'000}, {{{kJob, 0, index}}, {}}, {}};
  entry.Step({MessageReceived{{90}, EntryHello{9, {}, {report}}}});
  CHECK(entry.board.waiting_tasks == std::set<TaskKey>{{kJob, 0, index}});
  CHECK(CountWaitingTasks(entry.board) == 5);
  const auto started =
      StartedIndexes(entry.Step({MessageReceived{{1}, ReportOfRoom(5, 0)}}));
  CHECK(started == std::set<std::uint32_t>{0, 1, 2, 3, 4});
}

}  // namespace
}  // namespace dottereltrack::pool
