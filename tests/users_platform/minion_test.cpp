#include "platform/minion.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace dottereltrack::users_platform {
namespace {

using nlohmann::json;

const char* const kReport =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"kgn-a",)"
    R"("version":"v1","slots":8,"state":"ready","cold_remaining_ms":250,)"
    R"("capacity":{"cpu":16000,"task_memory_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700})";

HttpResult Answered(int status, const std::string& body) {
  return {HttpEnd::kAnswered, status, body, ""};
}

TEST_CASE("A report is decoded into the project's types",
          "[platform][minion]") {
  // Guards against swapped fields.
  const auto report = ParseMinionReport("i-7f", kReport);
  REQUIRE(report);
  pool::MinionReport expected;
  expected.id = "i-7f";
  expected.started_ms = 1'700;
  expected.address = {"10.128.0.9", 8080};
  expected.service = "huvo11a";
  expected.data_centre = "kgn-a";
  expected.rack = "r1-3";
  expected.labels = {"a", "r1-3"};
  expected.capacity = {16'000, 32'768, 0};
  expected.sequence = 4;
  expected.clock_ms = 482'113;
  expected.cold_remaining = milliseconds{250};
  CHECK(report.value() == expected);
}

TEST_CASE("A report with an invalid field is rejected", "[platform][minion]") {
  // Guards against starts on a minion known only from an invalid report.
  struct Row {
    const char* field;
    json value;
  };
  const auto row = GENERATE(values<Row>({{"service", 5},
                                         {"address", "nowhere"},
                                         {"address", json()},
                                         {"state", "asleep"},
                                         {"sequence", "four"},
                                         {"capacity", json::array()},
                                         {"labels", "a"},
                                         {"version", 1},
                                         {"slots", "8"},
                                         {"cold_remaining_ms", nullptr},
                                         {"drain_remaining_ms", "soon"},
                                         {"born", 1.5}}));
  CAPTURE(row.field, row.value.dump());
  json body = json::parse(kReport);
  body[row.field] = row.value;
  CHECK_FALSE(ParseMinionReport("i-7f", body.dump()));
}

TEST_CASE("A report without a field of the protocol is rejected",
          "[platform][minion]") {
  // Guards against an incomplete report of another writer that takes the place
  // of the real minion, whose tasks are then started again elsewhere.
  struct Row {
    const char* field;
    bool is_accepted;
  };
  const auto row = GENERATE(values<Row>({{"service", false},
                                         {"address", false},
                                         {"zone", false},
                                         {"version", false},
                                         {"slots", false},
                                         {"state", false},
                                         {"cold_remaining_ms", false},
                                         {"capacity", false},
                                         {"labels", false},
                                         {"clock_ms", false},
                                         {"sequence", false},
                                         {"born", true},
                                         {"drain_remaining_ms", true}}));
  CAPTURE(row.field);
  json body = json::parse(kReport);
  body.erase(row.field);
  CHECK(ParseMinionReport("i-7f", body.dump()).has_value() == row.is_accepted);
}

TEST_CASE("A capacity without one of its resources is rejected",
          "[platform][minion]") {
  // Guards against the same, and against starts on resources that the minion
  // does not have.
  const auto field = GENERATE("cpu", "task_memory_mb", "gpu");
  CAPTURE(field);
  json body = json::parse(kReport);
  body["capacity"].erase(field);
  CHECK_FALSE(ParseMinionReport("i-7f", body.dump()));
}

TEST_CASE("The path of a minion's call names the instance",
          "[platform][minion]") {
  // Guards against reports that are parsed as departures.
  struct Row {
    const char* method;
    const char* path;
    std::optional<MinionCall> call;
  };
  const auto row = GENERATE(
      values<Row>({{"POST", "/-/instances/i-7f/heartbeat",
                    MinionCall{MinionCallKind::kReport, "i-7f"}},
                   {"POST", "/-/instances/i-7f/deregister",
                    MinionCall{MinionCallKind::kLeave, "i-7f"}},
                   {"GET", "/-/instances/i-7f/heartbeat", std::nullopt},
                   {"POST", "/-/instances//heartbeat", std::nullopt},
                   {"POST", "/-/instances/i-7f/other", std::nullopt},
                   {"POST", "/other", std::nullopt}}));
  CAPTURE(row.path);
  HttpRequest request;
  request.method = row.method;
  request.path = row.path;
  CHECK(ParseMinionCall(request) == row.call);
}

TEST_CASE("A start names the instance, the run and the end of its lease",
          "[platform][minion]") {
  // Guards against starts on another instance and runs without a lease.
  pool::CallStart start;
  start.minion.id = "i-7f";
  start.minion.address = {"10.128.0.9", 8080};
  start.run = {{0x5c0e7a21d94b36f8, 0, 17}, 2};
  start.payload = std::string("text");
  start.lease_ends_ms = 486'000;
  start.fencing_token = 7;
  start.timeout = milliseconds{100};
  const HttpCall call = MakeHttpCall(start);
  CHECK(call.method == "POST");
  CHECK(call.url == "http://10.128.0.9:8080/-/run-start");
  CHECK(call.timeout == milliseconds{100});
  const std::pair<std::string, std::string> instance{
      "X-Dottereltrack-Expected-Instance", "i-7f"};
  CHECK(std::count(call.headers.begin(), call.headers.end(), instance) == 1);
  const json expected = {{"task", "5c0e7a21d94b36f8.0.0.17"},
                         {"run", 2},
                         {"spec", "text"},
                         {"deadline_ms", 486'000},
                         {"fencing_token", 7}};
  CHECK(json::parse(call.body) == expected);
}

TEST_CASE("A status poll renews the lease only if it sets the lease's end",
          "[platform][minion]") {
  // Guards against runs that outlive their lease because a mere probe renewed
  // it.
  const bool renews = GENERATE(false, true);
  pool::CallPoll look;
  look.last_end_number = 57;
  look.wait = milliseconds{50};
  if (renews) look.lease_ends_ms = 486'000;
  const json body = json::parse(MakeHttpCall(look).body);
  CHECK(body.at("last_seen") == 57);
  CHECK(body.at("wait_ms") == 50);
  CHECK(body.contains("deadline_ms") == renews);
}

TEST_CASE("Responses of a minion are mapped to answers", "[platform][minion]") {
  // Guards against releasing capacity, and starting the task again elsewhere,
  // while the run may still exist: only responses that prove that nothing was
  // started may do so. A minion that has executed a start and answers 500, 502
  // or 504 proves nothing.
  struct Row {
    HttpResult result;
    pool::CallAnswer answer;
  };
  using pool::CallAnswer;
  const auto row = GENERATE(values<Row>(
      {{Answered(200, "{}"), CallAnswer::kAccepted},
       {Answered(409, R"({"reason":"fence"})"), CallAnswer::kFenced},
       {Answered(409, R"({"reason":"old"})"), CallAnswer::kOldNumber},
       {Answered(409, R"({"reason":"late"})"), CallAnswer::kLate},
       {Answered(409, R"({"reason":"room"})"), CallAnswer::kNoRoom},
       {Answered(409, R"({"reason":"ticket"})"), CallAnswer::kUnavailable},
       {Answered(409, R"({"reason":"other"})"), CallAnswer::kUnanswered},
       {Answered(409, R"({"reason":5})"), CallAnswer::kUnanswered},
       {Answered(409, "{}"), CallAnswer::kUnanswered},
       {Answered(409, "no json"), CallAnswer::kUnanswered},
       {Answered(409, ""), CallAnswer::kUnanswered},
       {Answered(400, ""), CallAnswer::kInvalid},
       {Answered(421, ""), CallAnswer::kOtherInstance},
       {Answered(429, ""), CallAnswer::kUnavailable},
       {Answered(503, ""), CallAnswer::kUnavailable},
       {Answered(100, ""), CallAnswer::kUnanswered},
       {Answered(202, ""), CallAnswer::kUnanswered},
       {Answered(204, ""), CallAnswer::kUnanswered},
       {Answered(302, ""), CallAnswer::kUnanswered},
       {Answered(401, ""), CallAnswer::kUnanswered},
       {Answered(404, ""), CallAnswer::kUnanswered},
       {Answered(408, ""), CallAnswer::kUnanswered},
       {Answered(500, ""), CallAnswer::kUnanswered},
       {Answered(501, ""), CallAnswer::kUnanswered},
       {Answered(502, ""), CallAnswer::kUnanswered},
       {Answered(504, ""), CallAnswer::kUnanswered},
       {Answered(599, ""), CallAnswer::kUnanswered},
       {{HttpEnd::kNotConnected, 0, "", ""}, CallAnswer::kNotConnected},
       {{HttpEnd::kRefused, 0, "", ""}, CallAnswer::kNotConnected},
       {{HttpEnd::kTimedOut, 0, "", ""}, CallAnswer::kUnanswered},
       {{HttpEnd::kTransportError, 0, "", ""}, CallAnswer::kUnanswered},
       {{HttpEnd::kTooLarge, 0, "", ""}, CallAnswer::kUnanswered}}));
  CAPTURE(ToString(row.result.end), row.result.status, row.result.body);
  CHECK(ParseCallAnswer(row.result) == row.answer);
}

TEST_CASE("A refusal of a resent call does not refuse its first attempt",
          "[platform][minion]") {
  // Guards against starting a task again while its first run is at work: the
  // minion may have executed the start, lost its answer with the connection,
  // and refused the start when libcurl resent it.
  struct Row {
    int status;
    std::string body;
    pool::CallAnswer answer;
  };
  using pool::CallAnswer;
  const auto row = GENERATE(
      values<Row>({{200, "{}", CallAnswer::kAccepted},
                   {400, "", CallAnswer::kUnanswered},
                   {409, R"({"reason":"fence"})", CallAnswer::kUnanswered},
                   {409, R"({"reason":"late"})", CallAnswer::kUnanswered},
                   {409, R"({"reason":"old"})", CallAnswer::kUnanswered},
                   {409, R"({"reason":"room"})", CallAnswer::kUnanswered},
                   {409, R"({"reason":"ticket"})", CallAnswer::kUnanswered},
                   {421, "", CallAnswer::kUnanswered},
                   {429, "", CallAnswer::kUnanswered},
                   {500, "", CallAnswer::kUnanswered},
                   {503, "", CallAnswer::kUnanswered}}));
  CAPTURE(row.status, row.body);
  HttpResult result = Answered(row.status, row.body);
  result.is_resent = true;
  CHECK(ParseCallAnswer(result) == row.answer);
}

TEST_CASE("The log tells what a minion answered", "[platform][minion]") {
  // Guards against log lines from which the answers that release a task cannot
  // be told apart.
  struct Row {
    HttpResult result;
    std::string text;
  };
  const auto row = GENERATE(values<Row>(
      {{Answered(503, ""), "status 503"},
       {{HttpEnd::kAnswered, 503, "", "", true}, "status 503, resent"},
       {{HttpEnd::kTimedOut, 0, "", ""}, "timed_out"},
       {{HttpEnd::kTransportError, 0, "", "", true},
        "transport_error, resent"}}));
  CHECK(DescribeAnswer(row.result) == row.text);
}

TEST_CASE("The run lists of a status poll are decoded", "[platform][minion]") {
  // Guards against ends that are assigned to the wrong run or outcome.
  const auto look = ParseLookAnswer(
      3,
      Answered(200, R"({"clock_ms":482113,"born":1700,"running":)"
                    R"([["5c0e7a21d94b36f8.0.0.17",2,"",41,12]],)"
                    R"("finished":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""],)"
                    R"([59,"5c0e7a21d94b36f8.0.0.8",1,"lapsed",""]]})"));
  CHECK(look.sequence == 3);
  CHECK(look.answer == pool::CallAnswer::kAccepted);
  CHECK(look.clock_ms == 482'113);
  CHECK(look.started_ms == 1'700);
  const pool::RunKey running{{0x5c0e7a21d94b36f8, 0, 17}, 2};
  CHECK(look.running == std::vector<pool::ListedRun>{{running, 41}});
  const pool::RunKey done{{0x5c0e7a21d94b36f8, 0, 9}, 1};
  const pool::RunKey lapsed{{0x5c0e7a21d94b36f8, 0, 8}, 1};
  CHECK(look.ended ==
        std::vector<pool::ListedEnd>{{58, done, pool::RunEnd::kDone},
                                     {59, lapsed, pool::RunEnd::kLost}});
}

TEST_CASE("Run lists that cannot be parsed are an invalid answer",
          "[platform][minion]") {
  // Guards against treating runs as gone because the response cannot be parsed.
  const auto body =
      GENERATE("no json", "{}", R"({"clock_ms":1,"running":{}})",
               R"({"clock_ms":1,"finished":7})", R"({"clock_ms":-1})");
  CAPTURE(body);
  CHECK(ParseLookAnswer(3, Answered(200, body)).answer ==
        pool::CallAnswer::kInvalid);
}

}  // namespace
}  // namespace dottereltrack::users_platform
