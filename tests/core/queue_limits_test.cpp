#include "core/entry/queue_limits.h"

#include <catch2/catch.hpp>

#include "support/placement_board.h"

namespace dottereltrack::testing {

// Guards against accepting jobs that will miss their deadline, against refusing
// jobs that would meet it, and against refusals that do not state that nothing
// ran.
TEST_CASE("a job is refused if it would miss its deadline", "[admission]") {
  struct Row {
    int queued_tasks;
    int declared_ms;
    milliseconds deadline;
    std::optional<RefusalKind> refusal;
  };
  const auto row = GENERATE(values<Row>(
      {{0, 1'000, milliseconds{60'000}, std::nullopt},
       {0, 1'000, milliseconds{500}, RefusalKind::kDeadlineTooShort},
       {80, 1'000, milliseconds{60'000}, std::nullopt},
       // 80 tasks of 1 s take 10 s on 8 slots.
       {80, 1'000, milliseconds{10'000}, RefusalKind::kOverloaded},
       {80, 1'000, milliseconds{20'000}, std::nullopt}}));
  CAPTURE(row.queued_tasks, row.declared_ms, row.deadline.count());
  EntryBoard board = BoardWith({{"a", 8}});
  if (row.queued_tasks > 0) {
    Enqueue(&board, {"north", 1, std::vector<int>(row.queued_tasks, 1'000)});
  }
  TestJob job{"north", 2, {row.declared_ms}};
  job.deadline = row.deadline;
  const auto refusal =
      CheckQueueAndDeadline(board, RequestOf(job), NowAt(seconds{10}));
  REQUIRE(refusal.has_value() == row.refusal.has_value());
  if (!refusal) return;
  CHECK(refusal->kind == *row.refusal);
  CHECK(refusal->not_run.has_value());
  CHECK(refusal->retry_after.has_value() ==
        (refusal->kind == RefusalKind::kOverloaded));
}

// Guards against a team that fills the queue and blocks all others.
TEST_CASE("the queue is bounded, and one team cannot fill it", "[admission]") {
  struct Row {
    const char* team;
    int queued_tasks;
    bool refused;
  };
  const auto row = GENERATE(values<Row>({{"north", 70, false},
                                         {"north", 75, true},
                                         {"south", 75, false},
                                         {"south", 100, true}}));
  CAPTURE(row.team, row.queued_tasks);
  EntryBoard board = BoardWith({{"a", 8}});
  board.settings.max_queued_tasks = 100;
  Enqueue(&board, {"north", 1, std::vector<int>(row.queued_tasks, 1)});
  const auto refusal = CheckQueueAndDeadline(
      board, RequestOf({row.team, 2, {1}}), NowAt(seconds{10}));
  CHECK(refusal.has_value() == row.refused);
}

}  // namespace dottereltrack::testing
