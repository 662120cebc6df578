#include <catch2/catch.hpp>

#include "core/entry/forwarding.h"
#include "core/entry/queue_limits.h"
#include "support/placement_board.h"

namespace dottereltrack::testing {
namespace {

constexpr std::size_t kLimit = 1U << 20;

SubmitRequest RequestWithPayload(const std::string& team, std::uint64_t number,
                                 std::size_t bytes) {
  SubmitRequest request = RequestOf({team, number, {1}});
  request.tasks[0].payload = std::string(bytes, 'x');
  return request;
}

void AddJob(EntryBoard* board, std::uint64_t number,
            const SubmitRequest& request, std::size_t result_bytes) {
  Job job;
  job.id = IdOfJob(number);
  job.team = request.team;
  job.task_count = 1;
  job.body = request;
  job.memory_bytes = MemoryOf(request);
  EntryChanges changes;
  changes.Add(Put<Job>{job});
  Task task;
  task.id = {job.id, 0};
  task.state = TaskState::kFinal;
  task.outcome = Done{std::string(result_bytes, 'x')};
  changes.Add(Put<Task>{task});
  Apply(board, changes);
}

}  // namespace

// Guards against payloads of open jobs and kept results that fill the memory of
// the entry, and against a team that takes the room of all others.
TEST_CASE("the memory of jobs is bounded, and one team cannot fill it",
          "[admission]") {
  struct Row {
    const char* team;
    std::size_t used_bytes;
    std::size_t result_bytes;
    std::size_t payload_bytes;
    bool refused;
  };
  constexpr std::size_t kHalf = kLimit / 2;
  const auto row = GENERATE(values<Row>({
      {"north", 0, 0, kHalf, false},
      {"north", kHalf, 0, 1'000, false},
      {"north", kHalf, 0, kLimit / 4, true},
      {"south", kHalf, 0, kLimit / 4, false},
      {"south", kLimit, 0, 1, true},
      {"north", 0, kLimit, 1'000, false},
      {"north", 0, 3 * kHalf, 1'000, true},
      {"south", 0, 3 * kHalf, 1'000, false},
      {"south", kHalf, 3 * kHalf, 1, true},
  }));
  CAPTURE(row.team, row.used_bytes, row.result_bytes, row.payload_bytes);
  EntryBoard board = BoardWith({{"a", 8}});
  board.settings.max_accepted_bytes = kLimit;
  AddJob(&board, 1, RequestWithPayload("north", 1, row.used_bytes),
         row.result_bytes);
  const auto refusal = CheckQueueAndDeadline(
      board, RequestWithPayload(row.team, 2, row.payload_bytes),
      NowAt(seconds{10}));
  REQUIRE(refusal.has_value() == row.refused);
  EntryChanges changes;
  changes.Add(Erase<Task>{{IdOfJob(1), 0}});
  changes.Add(Erase<Job>{IdOfJob(1)});
  Apply(&board, changes);
  CHECK(board.open_jobs_memory == MemoryUse{});
  CHECK(board.results_memory == MemoryUse{});
  if (!refusal) return;
  CHECK(refusal->kind == RefusalKind::kOverloaded);
  CHECK(refusal->not_run.has_value());
  CHECK(refusal->retry_after.has_value());
}

// Guards against payloads that fill an entry which waits for a dispatcher, and
// against a claim that a key did not run that may have been used elsewhere.
TEST_CASE("the memory of calls that wait for a dispatcher is bounded",
          "[admission]") {
  const bool key_made_here = GENERATE(true, false);
  CAPTURE(key_made_here);
  EntryBoard board;
  board.settings.max_accepted_bytes = kLimit;
  const auto submit = [&](std::uint64_t call, std::size_t bytes) {
    const CallerSubmits event{
        {call}, RequestWithPayload("north", call, bytes), key_made_here};
    return Apply(&board, HandleCallerSubmits(board, event, NowAt(seconds{10})));
  };
  CHECK(submit(1, kLimit / 2).empty());
  CHECK(board.unserved_bytes > kLimit / 2);
  const auto effects = submit(2, kLimit / 2);
  REQUIRE(effects.size() == 1);
  const auto* reply = std::get_if<ReplyToCaller>(&effects[0]);
  REQUIRE(reply != nullptr);
  const auto* refusal = std::get_if<Refusal>(&reply->reply);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->not_run.has_value() == key_made_here);
  Apply(&board, HandleCallerLeft(board, {1}));
  CHECK(board.unserved_bytes == 0);
}

}  // namespace dottereltrack::testing
