#include <catch2/catch.hpp>
#include <random>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/unstarted_tasks.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kFirstJob = 0x1000;
constexpr int kSteps = 300;

// The sums that the indexes of a board hold, from its tables.
struct Sums {
  double waiting_work = 0;
  double on_time_work = 0;
  std::size_t unstarted = 0;
  std::size_t pending = 0;
  std::map<CallId, std::uint64_t> job_by_call;
  std::set<TaskKey> placed;
};

Sums SumTables(const EntryBoard& board, const Now& now) {
  Sums sums;
  for (const auto& [first, tasks] : board.unstarted_tasks) {
    sums.unstarted += tasks.count;
    if (tasks.IsBlocked()) continue;
    sums.waiting_work += WorkOf(tasks);
    const JobRow& job = *board.jobs.Find(first.job);
    REQUIRE(job.state == JobState::kActive);
    if (job.goal_at - tasks.estimate >= now.boot) {
      sums.on_time_work += WorkOf(tasks);
    }
  }
  for (const auto& [id, job] : board.jobs) {
    for (const CallId& call : job.waiters) sums.job_by_call[call] = id;
    if (job.state == JobState::kActive && !job.may_have_started) ++sums.pending;
  }
  for (const auto& [key, task] : board.tasks) {
    if (task.state == TaskState::kPlaced) sums.placed.insert(key);
  }
  return sums;
}

// Takes a random step that changes jobs or tasks.
void TakeRandomStep(EntryFixture* entry, std::mt19937_64* random) {
  const auto draw = [random](std::uint64_t n) { return (*random)() % n; };
  const std::uint64_t job = kFirstJob + draw(20);
  switch (draw(6)) {
    case 0:
    case 1:
      entry->Submit(job, 1 + static_cast<std::uint32_t>(draw(9)),
                    milliseconds{100 + 400 * draw(5)});
      return;
    case 2:
      entry->Step({CallerDisconnected{{1 + draw(entry->next_call)}}});
      return;
    case 3:
      entry->Step({JobCancelRequested{{1'000'000 + draw(1'000)}, job}});
      return;
    case 4: {
      const auto& placed = entry->board.placed_tasks;
      if (placed.empty()) return;
      const TaskRow task = *entry->board.tasks.Find(*placed.begin());
      const RunEnd end = draw(3) == 0 ? RunEnd::kFailed : RunEnd::kDone;
      entry->Step({MessageReceived{
          task.link, RunEnded{{task.key, task.run_number}, end, {}}}});
      return;
    }
    default:
      entry->AdvanceTime(milliseconds{25 * draw(8)});
  }
}

TEST_CASE("The indexes of an entry agree with its tables", "[pool][entry]") {
  // Guards against a backlog, a number of pending jobs or a caller that the
  // indexes count wrongly after some order of events.
  const auto seed = GENERATE(range(1, 11));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(3));
  entry.AddAgent(2, "m2", ResourcesFor(2));
  for (int step = 0; step < kSteps; ++step) {
    CAPTURE(step);
    TakeRandomStep(&entry, &random);
    const EntryBoard& board = entry.board;
    const Sums sums = SumTables(board, entry.now);
    REQUIRE(board.unstarted_count == sums.unstarted);
    REQUIRE(board.job_by_call == sums.job_by_call);
    REQUIRE(board.placed_tasks == sums.placed);
    const auto pending = board.pending_by_queue.find("checks");
    REQUIRE((pending == board.pending_by_queue.end() ? 0 : pending->second) ==
            sums.pending);
    const auto work = board.unstarted_work.find("menus");
    const bool has_work = work != board.unstarted_work.end();
    REQUIRE((has_work ? work->second.total : 0) == Approx(sums.waiting_work));
    REQUIRE((has_work ? work->second.on_time : 0) == Approx(sums.on_time_work));
  }
}

}  // namespace
}  // namespace dottereltrack::pool
