#include "apps/agent/attempts.h"

#include <catch2/catch.hpp>

namespace dottereltrack {
namespace {

TaskStart MakeStart(milliseconds timeout) {
  TaskStart start;
  start.id = {{}, 7};
  start.id.submission.bytes.fill(0xab);
  start.payload = std::string("120 abc");
  start.timeout = timeout;
  return start;
}

}  // namespace

// Guards against reporting a task as not started, and so starting it again,
// without proof that its request was not sent, and against a definite outcome
// for a task that may or may not have run.
TEST_CASE("the result of a request determines the task outcome", "[agent]") {
  struct Row {
    HttpResult result;
    AttemptEnd end;
    std::string output;
  };
  const auto row = GENERATE(values<Row>({
      {{HttpEnd::kAnswered, 200, "ok", ""}, AttemptEnd::kDone, "ok"},
      {{HttpEnd::kAnswered, 299, "", ""}, AttemptEnd::kDone, ""},
      {{HttpEnd::kAnswered, 199, "", ""}, AttemptEnd::kFailed, "199"},
      {{HttpEnd::kAnswered, 302, "moved", ""}, AttemptEnd::kFailed, "moved"},
      {{HttpEnd::kAnswered, 500, "broken", ""}, AttemptEnd::kFailed, "broken"},
      {{HttpEnd::kNotConnected, 0, "", "no"}, AttemptEnd::kNotStarted, "no"},
      {{HttpEnd::kRefused, 0, "", "full"}, AttemptEnd::kNotStarted, "full"},
      {{HttpEnd::kTimedOut, 0, "", "late"}, AttemptEnd::kUnknown, "late"},
      {{HttpEnd::kTransportError, 0, "", "x"}, AttemptEnd::kUnknown, "x"},
      {{HttpEnd::kTooLarge, 0, "", ""}, AttemptEnd::kUnknown, "exceeds"},
  }));
  CAPTURE(ToString(row.result.end), row.result.status);
  const TaskId task{{}, 3};
  const AttemptEnded ended =
      MakeAttemptEnded(task, row.result, microseconds{42});
  CHECK((ended.task == task));
  CHECK(ended.end == row.end);
  CHECK(ended.run_time == microseconds{42});
  CHECK_THAT(*ended.output, Catch::Contains(row.output));
}

// Guards against requests that libcurl resends after a reused connection was
// closed, and against requests without a timeout.
TEST_CASE("a task is sent once, on a fresh connection, with a timeout",
          "[agent]") {
  struct Row {
    milliseconds timeout;
    milliseconds expected;
    MinionTarget target;
    std::string url;
  };
  const auto row = GENERATE(values<Row>({
      {milliseconds{900},
       milliseconds{900},
       {{"127.0.0.1", 81}, "/run"},
       "http://127.0.0.1:81/run"},
      {milliseconds{0},
       milliseconds{1},
       {{"::1", 82}, "/"},
       "http://[::1]:82/"},
      {milliseconds{-5},
       milliseconds{1},
       {{"127.0.0.1", 81}, "/a?b=c"},
       "http://127.0.0.1:81/a?b=c"},
  }));
  CAPTURE(row.url);
  const HttpCall call = MakeAttemptCall(MakeStart(row.timeout), row.target);
  CHECK(call.use_fresh_connection);
  CHECK(call.timeout == row.expected);
  CHECK(call.method == "POST");
  CHECK(call.url == row.url);
  CHECK(call.body == "120 abc");
  CHECK(call.max_response_bytes == kMaxResultBytes);
  const std::map<std::string, std::string> headers(call.headers.begin(),
                                                   call.headers.end());
  CHECK(headers.at("X-Dottereltrack-Submission") ==
        "abababababababababababababababab");
  CHECK(headers.at("X-Dottereltrack-Task") == "7");
}

}  // namespace dottereltrack
