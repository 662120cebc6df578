#include "core/entry/placement.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/placement_board.h"

namespace dottereltrack::testing {
namespace {

std::vector<std::string> MinionsOf(const EntryBoard& board) {
  std::vector<std::string> names;
  for (const Placement& it : ChoosePlacements(board, NowAt(seconds{10}))) {
    names.push_back(board.agents.Find(it.agent)->minion.name);
  }
  return names;
}

std::vector<std::uint32_t> IndexesOf(const EntryBoard& board) {
  std::vector<std::uint32_t> indexes;
  for (const Placement& it : ChoosePlacements(board, NowAt(seconds{10}))) {
    indexes.push_back(it.task.index);
  }
  return indexes;
}

}  // namespace

// Guards against a job that ends late because its longest task started last.
TEST_CASE("the longest declared task of a job starts first", "[placement]") {
  struct Row {
    std::vector<int> declared_ms;
    std::vector<std::uint32_t> order;
  };
  const auto row = GENERATE(values<Row>({{{100, 300, 200}, {1, 2, 0}},
                                         {{100, 100, 100}, {0, 1, 2}},
                                         {{900, 50, 60}, {0, 2, 1}}}));
  EntryBoard board = BoardWith({{"a", 8}});
  Enqueue(&board, {"north", 1, row.declared_ms});
  CHECK(IndexesOf(board) == row.order);
}

// Guards against placing more work on a minion than its limits allow.
TEST_CASE("slots, connections, memory and accelerators are hard limits",
          "[placement]") {
  struct Row {
    std::uint32_t slots;
    std::uint32_t connections;
    std::uint64_t memory;
    std::uint32_t accelerators;
    Needs needs;
    std::size_t started;
  };
  const auto row = GENERATE(values<Row>({{2, 64, 100, 0, {0, 0}, 2},
                                         {8, 3, 100, 0, {0, 0}, 3},
                                         {8, 64, 100, 0, {40, 0}, 2},
                                         {8, 64, 100, 1, {0, 1}, 1},
                                         {8, 64, 100, 0, {0, 1}, 0}}));
  TestMinion minion{"a", row.slots};
  minion.connections = row.connections;
  minion.memory_bytes = row.memory;
  minion.accelerators = row.accelerators;
  EntryBoard board = BoardWith({minion});
  TestJob job{"north", 1, {100, 100, 100, 100}};
  job.needs = row.needs;
  Enqueue(&board, job);
  CHECK(ChoosePlacements(board, NowAt(seconds{10})).size() == row.started);
}

// Guards against a team that takes more than its share of the slots.
TEST_CASE("teams share slots by weight, and quotas are hard limits",
          "[placement]") {
  struct Row {
    TeamConfig north;
    TeamConfig south;
    std::size_t north_starts;
    std::size_t south_starts;
  };
  const auto row = GENERATE(values<Row>({{{0, 1}, {0, 1}, 4, 4},
                                         {{0, 3}, {0, 1}, 6, 2},
                                         {{2, 1}, {0, 1}, 2, 6},
                                         {{2, 1}, {3, 1}, 2, 3}}));
  EntryBoard board = BoardWith({{"a", 8}});
  CellConfig config;
  config.teams = {{"north", row.north}, {"south", row.south}};
  EntryChanges changes;
  changes.Add(SetConfig{{1, config}});
  Apply(&board, changes);
  Enqueue(&board, {"north", 1, std::vector<int>(20, 100)});
  Enqueue(&board, {"south", 2, std::vector<int>(20, 100)});
  std::size_t north = 0;
  std::size_t south = 0;
  for (const Placement& it : ChoosePlacements(board, NowAt(seconds{10}))) {
    ++(board.jobs.Find(it.task.submission)->team == "north" ? north : south);
  }
  CHECK(north == row.north_starts);
  CHECK(south == row.south_starts);
}

// Guards against a large job that delays small ones, and against starvation of
// the large job.
TEST_CASE("small jobs overtake a large one for a bounded time", "[placement]") {
  struct Row {
    std::size_t large_tasks;
    milliseconds small_arrives_later;
    bool small_first;
  };
  const auto row = GENERATE(values<Row>({{1'000, milliseconds{500}, true},
                                         {1'000, milliseconds{1'900}, true},
                                         {1'000, milliseconds{2'100}, false},
                                         {2, milliseconds{500}, false}}));
  EntryBoard board = BoardWith({{"a", 1}});
  Enqueue(&board, {"north", 1, std::vector<int>(row.large_tasks, 100)});
  TestJob small{"north", 2, {100}};
  small.accepted_at += row.small_arrives_later;
  Enqueue(&board, small);
  const auto placements = ChoosePlacements(board, NowAt(seconds{10}));
  REQUIRE(placements.size() == 1);
  const bool small_first =
      board.jobs.Find(placements[0].task.submission)->task_count == 1;
  CHECK(small_first == row.small_first);
}

// Guards against using fast minions for tasks that do not need them, and
// against a job that ends late because of a task on a slow minion.
TEST_CASE("a task runs on a slow minion if its job ends no later for it",
          "[placement]") {
  struct Row {
    int declared_ms;
    const char* minion;
  };
  // The job's other task ends in 1 s, and the slow minion takes twice the
  // declared time.
  const auto row = GENERATE(values<Row>(
      {{100, "slow"}, {390, "slow"}, {410, "fast"}, {2'000, "fast"}}));
  EntryBoard board = BoardWith({{"fast", 2}, {"slow", 2}});
  SetTimeRatio(&board, "fast", 0.5);
  SetTimeRatio(&board, "slow", 2.0);
  Enqueue(&board, {"north", 1, {2'000, row.declared_ms}});
  StartFirstTask(&board, 1, "fast", seconds{11});
  CHECK(MinionsOf(board) == std::vector<std::string>{row.minion});
}

// Guards against sending separate messages for tasks of a job that could share
// one.
TEST_CASE("tasks with slack share the message of their job's first start",
          "[placement]") {
  struct Row {
    std::vector<int> declared_ms;
    std::vector<std::string> minions;
  };
  const auto row =
      GENERATE(values<Row>({{{1'000, 100}, {"fast", "fast"}},
                            {{1'000, 100, 100}, {"fast", "fast", "slow"}}}));
  EntryBoard board = BoardWith({{"fast", 2}, {"slow", 2}});
  SetTimeRatio(&board, "fast", 0.5);
  SetTimeRatio(&board, "slow", 2.0);
  Enqueue(&board, {"north", 1, row.declared_ms});
  CHECK(MinionsOf(board) == row.minions);
}

// Guards against starting a task on a slow minion just before a fast one
// becomes free, and against waiting longer than the fast minion saves.
TEST_CASE("a task waits for a fast minion only if it then ends earlier",
          "[placement]") {
  struct Row {
    milliseconds fast_is_free_in;
    bool waits;
  };
  const auto row = GENERATE(values<Row>({{milliseconds{50}, true},
                                         {milliseconds{500}, true},
                                         {milliseconds{1'500}, false}}));
  EntryBoard board = BoardWith({{"fast", 1}, {"slow", 4}});
  SetTimeRatio(&board, "fast", 0.5);
  SetTimeRatio(&board, "slow", 2.0);
  Enqueue(&board, {"north", 1, {1'000}});
  StartFirstTask(&board, 1, "fast", seconds{10} + row.fast_is_free_in);
  Enqueue(&board, {"north", 2, {1'000}});
  const auto names = MinionsOf(board);
  CHECK(names.empty() == row.waits);
}

}  // namespace dottereltrack::testing
