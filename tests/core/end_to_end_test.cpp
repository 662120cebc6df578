#include <catch2/catch.hpp>

#include "support/test_cell.h"

namespace dottereltrack::testing {
namespace {

// Returns the result that the simulated minion gives for one task of
// MakeRequest.
std::string ExpectedResult(const SubmitRequest& request, std::size_t n) {
  return "result of " + *request.tasks[n].payload;
}

}  // namespace

// Guards against a partial answer, and against an answer that belongs to
// another request.
TEST_CASE("every caller gets the complete answer to its own request",
          "[end-to-end]") {
  struct Row {
    int entries;
    int agents;
    int tasks;
    bool timed;
  };
  const auto row = GENERATE(values<Row>({{1, 1, 1, true},
                                         {2, 3, 7, true},
                                         {2, 3, 7, false},
                                         {4, 11, 200, true},
                                         {4, 11, 40, false}}));
  CAPTURE(row.entries, row.agents, row.tasks, row.timed);
  CellOptions options;
  options.entries = row.entries;
  options.agents = row.agents;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  std::vector<std::pair<CallId, SubmitRequest>> calls;
  for (int n = 0; n < 8; ++n) {
    const std::string key =
        row.timed ? TimedKey(cell.wall(), n) : "order-" + std::to_string(n);
    const auto request = MakeRequest("north", key, row.tasks);
    calls.emplace_back(cell.Submit(n % row.entries, request), request);
  }
  cell.RunFor(seconds{30});
  for (const auto& [call, request] : calls) {
    const CallerReply* reply = cell.ReplyOf(call);
    REQUIRE(reply != nullptr);
    REQUIRE(std::holds_alternative<Answer>(reply->reply));
    const Answer& answer = std::get<Answer>(reply->reply);
    CHECK(answer.complete);
    REQUIRE(answer.outcomes.size() == request.tasks.size());
    for (std::size_t n = 0; n < answer.outcomes.size(); ++n) {
      const auto* done = std::get_if<Done>(&answer.outcomes[n]);
      REQUIRE(done != nullptr);
      CHECK(*done->result == ExpectedResult(request, n));
    }
  }
  CHECK(cell.TasksStartedMoreThanOnce().empty());
  CHECK(cell.overcommitted_slots() == 0);
}

// Guards against running a job again when it is resubmitted with the same key.
TEST_CASE("a resubmission gets the recorded answer", "[end-to-end]") {
  const auto second_entry = GENERATE(0, 1);
  const auto timed = GENERATE(true, false);
  CAPTURE(second_entry, timed);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  const auto request =
      MakeRequest("north", timed ? TimedKey(cell.wall(), 1) : "once", 5);
  const CallId first = cell.Submit(0, request);
  const CallId same_moment = cell.Submit(second_entry, request);
  cell.RunFor(seconds{5});
  const CallId later = cell.Submit(second_entry, request);
  cell.RunFor(seconds{1});
  REQUIRE(cell.ReplyOf(first) != nullptr);
  for (const CallId call : {same_moment, later}) {
    REQUIRE(cell.ReplyOf(call) != nullptr);
    CHECK((cell.ReplyOf(call)->reply == cell.ReplyOf(first)->reply));
  }
  CHECK(cell.starts().size() == 5);
  CHECK(cell.TasksStartedMoreThanOnce().empty());
}

}  // namespace dottereltrack::testing
