#include "platform/job.h"

#include <catch2/catch.hpp>

namespace dottereltrack::users_platform {
namespace {

HttpRequest RequestOf(const std::string& method, const std::string& path) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers = {{"host", "nony24.example:80"},
                     {"request-id", "r1"},
                     {"x-dottereltrack-deadline-ms", "1900"}};
  return request;
}

TEST_CASE("Method and path select the client's call", "[platform][job]") {
  // Guards against requests that are parsed as another call or with a wrong job
  // id.
  struct Row {
    const char* method;
    const char* path;
    std::optional<ClientCallKind> kind;
    std::uint64_t job;
  };
  const auto row = GENERATE(
      values<Row>({{"POST", "/lohu930/5c0e7a21d94b36f8",
                    ClientCallKind::kSubmit, 0x5c0e7a21d94b36f8},
                   {"GET", "/lohu930/5c0e7a21d94b36f8",
                    ClientCallKind::kReadState, 0x5c0e7a21d94b36f8},
                   {"DELETE", "/lohu930/5c0e7a21d94b36f8",
                    ClientCallKind::kCancel, 0x5c0e7a21d94b36f8},
                   {"GET", "/lohu930/", ClientCallKind::kCountPending, 0},
                   {"POST", "/lohu930/", std::nullopt, 0},
                   {"POST", "/lohu930/5c0e7a21d94b36f", std::nullopt, 0},
                   {"POST", "/lohu930/5c0e7a21d94b36fx", std::nullopt, 0},
                   {"PUT", "/lohu930/5c0e7a21d94b36f8", std::nullopt, 0}}));
  CAPTURE(row.method, row.path);
  const auto call = ParseClientCall(RequestOf(row.method, row.path));
  REQUIRE(call.has_value() == row.kind.has_value());
  if (!call) return;
  CHECK(call->kind == *row.kind);
  CHECK(call->job == row.job);
  CHECK(call->host == "nony24.example");
  CHECK(call->request_id == "r1");
  CHECK(call->client_timeout == milliseconds{1'900});
}

TEST_CASE("A deadline that is not a positive number of milliseconds is ignored",
          "[platform][job]") {
  // Guards against jobs that are given up immediately because an invalid
  // deadline is read as zero.
  const auto text = GENERATE("", "x", "0", "-5");
  CAPTURE(text);
  auto request = RequestOf("POST", "/a/5c0e7a21d94b36f8");
  request.headers["x-dottereltrack-deadline-ms"] = text;
  CHECK_FALSE(ParseClientCall(request)->client_timeout.has_value());
}

TEST_CASE("A job's fields are decoded into the project's types",
          "[platform][job]") {
  // Guards against swapped fields and wrong units.
  const auto job = ParseJobSpec(
      7, R"({"best_effort":true,"spec":"text","steps":[{"count":8,"cpu":6200,)"
         R"("task_memory_mb":64,"gpu":1,"estimated_ms":99,"requirements":"b",)"
         R"("affinity":"r1-3","anti_affinity":2,"colocated":true}]})");
  REQUIRE(job);
  CHECK(job.value().id == 7);
  CHECK(*job.value().payload == "text");
  CHECK(job.value().unsupported.empty());
  REQUIRE(job.value().steps.size() == 1);
  CHECK(job.value().steps[0] ==
        pool::StepSpec{
            8, {6'200, 64, 1}, milliseconds{99}, {"b", "r1-3", 2, true}});
}

TEST_CASE("A job with unsupported fields is marked as unsupported",
          "[platform][job]") {
  // Guards against jobs that run without a property their caller relies on. A
  // field that is false, zero or empty requests nothing.
  struct Row {
    const char* job_fields;
    const char* step_fields;
    bool supported;
  };
  const auto row = GENERATE(values<Row>(
      {{R"("best_effort":true)", "", true},
       {R"("best_effort":true,"repetitions":0)", R"(,"gang":false)", true},
       {R"("best_effort":true)", R"(,"after":[])", true},
       {R"("best_effort":false)", "", false},
       {R"("other":1)", "", false},
       {R"("best_effort":true,"long_running":true)", "", false},
       {R"("best_effort":true,"repetitions":3)", "", false},
       {R"("best_effort":true)", R"(,"gang":true)", false},
       {R"("best_effort":true)", R"(,"after":[0])", false},
       {R"("best_effort":true)", R"(,"requirements":"b")", true},
       {R"("best_effort":true)", R"(,"affinity":"r1-3")", true},
       {R"("best_effort":true)", R"(,"anti_affinity":1)", true},
       {R"("best_effort":true)", R"(,"colocated":true)", true},
       {R"("best_effort":false)", R"(,"affinity":"r1-3")", false},
       {R"("best_effort":true)", R"(,"checkpointing":true)", false},
       {R"("best_effort":true)", R"(},{"count":1)", false}}));
  CAPTURE(row.job_fields, row.step_fields);
  const std::string body = std::string("{") + row.job_fields +
                           R"(,"spec":"s","steps":[{"count":1)" +
                           row.step_fields + "}]}";
  const auto job = ParseJobSpec(7, body);
  REQUIRE(job);
  CHECK(job.value().unsupported.empty() == row.supported);
}

TEST_CASE("A malformed job is refused and the error names the field",
          "[platform][job]") {
  // Guards against jobs that run with default values in place of invalid or
  // missing fields, and against jobs without tasks, which never end.
  struct Row {
    const char* body;
    const char* field;
  };
  const auto row = GENERATE(values<Row>(
      {{"no json", ""},
       {R"({"steps":[]})", "spec"},
       {R"({"spec":1,"steps":[]})", "spec"},
       {R"({"spec":"s"})", "steps"},
       {R"({"spec":"s","steps":[]})", "steps"},
       {R"({"spec":"s","steps":[{"count":0}]})", "steps"},
       {R"({"spec":"s","steps":[{"cpu":1}]})", "steps[0].count"},
       {R"({"spec":"s","steps":[{"count":-1}]})", "steps[0].count"}}));
  CAPTURE(row.body);
  const auto job = ParseJobSpec(7, row.body);
  REQUIRE_FALSE(job);
  CHECK(job.error().field == row.field);
}

TEST_CASE("A spec is limited by its bytes", "[platform][job]") {
  // Guards against specs whose size is multiplied by the tasks that carry it,
  // and against a refusal of the longest spec that the platform allows.
  struct Row {
    std::size_t bytes;
    bool is_accepted;
  };
  const auto row = GENERATE(values<Row>({{4'000, true}, {4'001, false}}));
  CAPTURE(row.bytes);
  const auto job = ParseJobSpec(7, R"({"best_effort":true,"spec":")" +
                                       std::string(row.bytes, 'x') +
                                       R"(","steps":[{"count":1}]})");
  REQUIRE(job.has_value() == row.is_accepted);
  if (!row.is_accepted) CHECK(job.error().field == "spec");
}

TEST_CASE("Each kind of reply has its HTTP status", "[platform][job]") {
  // Guards against refusals that clients take for outcomes, and vice versa:
  // clients resubmit a job after 502 and 504, but not after 429 and 503.
  struct Row {
    pool::ReplyKind kind;
    int status;
    bool retry_after;
  };
  using pool::ReplyKind;
  const auto row =
      GENERATE(values<Row>({{ReplyKind::kCompleted, 200, false},
                            {ReplyKind::kFailed, 200, false},
                            {ReplyKind::kNoQueue, 404, false},
                            {ReplyKind::kNoConfig, 503, true},
                            {ReplyKind::kNoMinions, 503, true},
                            {ReplyKind::kStopping, 503, true},
                            {ReplyKind::kOverloaded, 429, true},
                            {ReplyKind::kUnsupported, 503, false},
                            {ReplyKind::kCancelUndecided, 503, true},
                            {ReplyKind::kGivenUp, 504, false},
                            {ReplyKind::kUnknownJob, 410, false}}));
  CAPTURE(static_cast<int>(row.kind));
  const auto response =
      ResponseFor({{1}, row.kind, milliseconds{row.retry_after ? 1'500 : 0}});
  CHECK(response.status == row.status);
  CHECK(response.headers.count("Retry-After") == (row.retry_after ? 1U : 0U));
  if (row.retry_after) CHECK(response.headers.at("Retry-After") == "2");
}

}  // namespace
}  // namespace dottereltrack::users_platform
