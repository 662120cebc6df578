#include <catch2/catch.hpp>
#include <string>

#include "core/entry/ejection.h"
#include "core/entry/run_time_estimates.h"
#include "support/placement_board.h"

namespace dottereltrack::testing {
namespace {

// Runs one task on the minion and records its result.
void RunTask(EntryBoard* board, std::uint64_t job, const std::string& minion,
             LedgerState state, milliseconds run_time, const Now& now) {
  Enqueue(board, {"north", job, {100}});
  StartFirstTask(board, job, minion, now.boot);
  const TaskResult result{{IdOfJob(job), 0}, state, {}, run_time};
  const AgentRow agent = AgentOfMinion(*board, minion);
  Apply(board, UpdateRunTimeEstimates(*board, agent, result, now));
  Apply(board, UpdateMinionHealth(*board, agent, result, now));
  EntryChanges changes;
  changes.Add(Erase<Task>{{IdOfJob(job), 0}});
  changes.Add(Erase<Job>{IdOfJob(job)});
  Apply(board, changes);
}

std::uint32_t AllowedSlotsOf(const EntryBoard& board, const std::string& minion,
                             const Now& now) {
  return AllowedSlots(board, AgentOfMinion(board, minion), now);
}

}  // namespace

// Guards against a faulty minion that attracts work because it fails tasks
// quickly, and against ejecting a minion after a single failure.
TEST_CASE("failures in a row limit and then eject a minion", "[health]") {
  struct Row {
    int failures;
    std::uint32_t allowed;
  };
  const auto row = GENERATE(values<Row>({{0, 8}, {1, 1}, {2, 0}, {5, 0}}));
  EntryBoard board = BoardWith({{"a"}, {"b"}, {"c"}});
  const Now now = NowAt(seconds{10});
  std::uint64_t job = 1;
  for (int n = 0; n < 400; ++n) {
    RunTask(&board, job++, n % 2 == 0 ? "b" : "c", LedgerState::kDone,
            milliseconds{100}, now);
  }
  for (int n = 0; n < row.failures; ++n) {
    RunTask(&board, job++, "a", LedgerState::kFailed, milliseconds{1}, now);
  }
  CHECK(AllowedSlotsOf(board, "a", now) == row.allowed);
  CHECK(AllowedSlotsOf(board, "b", now) == 8);
}

// Guards against ejecting all minions because of jobs that fail everywhere.
TEST_CASE("at most a third of the minions are ejected", "[health]") {
  const auto minions = GENERATE(2, 3, 6, 11);
  std::vector<TestMinion> rows;
  for (int n = 0; n < minions; ++n) rows.push_back({std::to_string(n)});
  EntryBoard board = BoardWith(rows);
  const Now now = NowAt(seconds{10});
  std::uint64_t job = 1;
  for (int n = 0; n < minions * 20; ++n) {
    RunTask(&board, job++, std::to_string(n % minions), LedgerState::kFailed,
            milliseconds{1}, now);
  }
  int ejected = 0;
  for (const auto& [name, health] : board.minion_health) {
    if (health.ejected) ++ejected;
  }
  CHECK(ejected <= minions / 3);
}

// Guards against an ejection that is never lifted.
TEST_CASE("an ejected minion returns after two good probes", "[health]") {
  EntryBoard board = BoardWith({{"a"}, {"b"}, {"c"}});
  const Now now = NowAt(seconds{10});
  for (std::uint64_t job = 10; job < 400; ++job) {
    RunTask(&board, job, "b", LedgerState::kDone, milliseconds{100}, now);
  }
  for (std::uint64_t job = 1; job <= 2; ++job) {
    RunTask(&board, job, "a", LedgerState::kFailed, milliseconds{1}, now);
  }
  REQUIRE(AllowedSlotsOf(board, "a", now) == 0);
  const Now later = NowAt(seconds{13});
  CHECK(AllowedSlotsOf(board, "a", later) == 1);
  RunTask(&board, 3, "a", LedgerState::kDone, milliseconds{100}, later);
  CHECK(AllowedSlotsOf(board, "a", later) == 1);
  RunTask(&board, 4, "a", LedgerState::kDone, milliseconds{100}, later);
  CHECK(AllowedSlotsOf(board, "a", later) == 8);
}

// Guards against outdated estimates that keep influencing placement.
TEST_CASE("an estimated time ratio decays towards 1", "[health]") {
  struct Row {
    seconds age;
    double at_least;
    double at_most;
  };
  const auto row = GENERATE(values<Row>({{seconds{0}, 2.9, 3.1},
                                         {seconds{120}, 1.3, 2.0},
                                         {seconds{1'200}, 0.99, 1.01}}));
  EntryBoard board = BoardWith({{"a"}});
  for (std::uint64_t job = 1; job <= 200; ++job) {
    RunTask(&board, job, "a", LedgerState::kDone, milliseconds{300},
            NowAt(seconds{10}));
  }
  const double ratio =
      EstimatedTimeRatio(board, "a", "render", NowAt(seconds{10} + row.age));
  CHECK(ratio >= row.at_least);
  CHECK(ratio <= row.at_most);
}

// Guards against trusting wrong declared times, and against unbounded
// corrections.
TEST_CASE("declared times are corrected in both directions, within bounds",
          "[health]") {
  struct Row {
    int run_ms;
    double ratio;
  };
  const auto row =
      GENERATE(values<Row>({{300, 3.0}, {33, 0.33}, {100'000, 8.0}}));
  EntryBoard board = BoardWith({{"a"}, {"b"}});
  const Now now = NowAt(seconds{10});
  for (std::uint64_t job = 1; job <= 400; ++job) {
    RunTask(&board, job, "a", LedgerState::kDone, milliseconds{row.run_ms},
            now);
  }
  CHECK(EstimatedTimeRatio(board, "a", "render", now) ==
        Approx(row.ratio).epsilon(0.1));
}

}  // namespace dottereltrack::testing
