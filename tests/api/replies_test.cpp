#include <catch2/catch.hpp>

#include "api/answer_json.h"
#include "api/json_text.h"
#include "api/operator_json.h"
#include "api/routes.h"
#include "json/base64.h"

namespace dottereltrack {

// Guards against answers that lose a task's state or results that are not
// valid UTF-8.
TEST_CASE("an answer lists the state of each task", "[api]") {
  Answer answer;
  answer.id = MakeSubmissionId("north", "k1");
  answer.failure = "task_failed";
  answer.outcomes = {
      Done{std::string("r")}, Done{std::string("\xff")}, Failed{"exit 1"},
      NotRun{"cancelled", ProveNeverAccepted()}, Unknown{"agent lost"}};
  const ApiReply reply = RenderReply(answer, "k1");
  CHECK(reply.status == 200);
  CHECK(reply.body ==
        R"({"complete":false,"failure":"task_failed","id":")" +
            ToHex(answer.id) +
            R"(","key":"k1","tasks":[{"result":"r","state":"done"},)"
            R"({"result_base64":"/w==","state":"done"},)"
            R"({"reason":"exit 1","state":"failed"},)"
            R"({"reason":"cancelled","state":"not_run"},)"
            R"({"reason":"agent lost","state":"unknown"}]})"
            "\n");
}

TEST_CASE("an open job gives status 202 without an answer", "[api]") {
  const SubmissionId id = MakeSubmissionId("north", "k1");
  const ApiReply reply = RenderReply(StillOpen{id}, "");
  CHECK(reply.status == 202);
  CHECK(reply.body == R"({"id":")" + ToHex(id) + "\",\"state\":\"open\"}\n");
}

// Guards against a refusal with outcome not_run but without proof, after which
// a caller could run its work twice.
TEST_CASE("a refusal reports not_run only with proof", "[api]") {
  struct Row {
    RefusalKind kind;
    bool has_proof;
    int status;
    const char* outcome;
  };
  const auto row = GENERATE(values<Row>({
      {RefusalKind::kInvalidRequest, true, 400, "not_run"},
      {RefusalKind::kUnknownTeam, true, 400, "not_run"},
      {RefusalKind::kKeyReused, false, 409, "unknown"},
      {RefusalKind::kKeyExpired, false, 409, "unknown"},
      {RefusalKind::kOverloaded, true, 429, "not_run"},
      {RefusalKind::kQuotaExceeded, false, 429, "unknown"},
      {RefusalKind::kNoDispatcher, false, 503, "unknown"},
      {RefusalKind::kStopping, true, 503, "not_run"},
      {RefusalKind::kNotFound, false, 404, "unknown"},
      {RefusalKind::kVersionConflict, true, 409, "not_run"},
      {RefusalKind::kUndecided, false, 503, "unknown"},
  }));
  Refusal refusal{row.kind, "text", std::nullopt, milliseconds{1'500}};
  if (row.has_proof) refusal.not_run = ProveNeverAccepted();
  const ApiReply reply = RenderReply(refusal, "k1");
  CHECK(reply.status == row.status);
  CHECK(reply.retry_after == milliseconds{1'500});
  CHECK(reply.body == R"({"error":{"code":")" +
                          std::string(ToString(row.kind)) +
                          R"(","message":"text","outcome":")" + row.outcome +
                          "\",\"retry_after_ms\":1500}}\n");
}

// Guards against requests that reach the wrong handler, and against operator
// endpoints that require no token.
TEST_CASE("requests are routed by method and path", "[api]") {
  const std::string id(32, 'a');
  struct Row {
    std::string method;
    std::string path;
    std::optional<RouteKind> kind;
    bool requires_operator_token;
    int status;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"POST", "/v1/jobs", RouteKind::kSubmitJob, false, 0},
      {"GET", "/v1/jobs/" + id, RouteKind::kFetchJob, false, 0},
      {"DELETE", "/v1/jobs/" + id, RouteKind::kCancelJob, false, 0},
      {"GET", "/v1/config", RouteKind::kGetConfig, true, 0},
      {"PUT", "/v1/config", RouteKind::kPutConfig, true, 0},
      {"POST", "/v1/confirm-dead", RouteKind::kConfirmDead, true, 0},
      {"GET", "/v1/status", RouteKind::kGetStatus, true, 0},
      {"GET", "/healthz", RouteKind::kGetHealth, false, 0},
      {"GET", "/metrics", RouteKind::kGetMetrics, false, 0},
      {"GET", "/debug/state", RouteKind::kGetState, true, 0},
      {"PUT", "/v1/log-level", RouteKind::kSetLogLevel, true, 0},
      {"GET", "/v1/jobs", std::nullopt, false, 405},
      {"POST", "/v1/jobs/" + id, std::nullopt, false, 405},
      {"GET", "/v1/jobs/", std::nullopt, false, 404},
      {"GET", "/v1/jobs/xyz", std::nullopt, false, 404},
      {"GET", "/", std::nullopt, false, 404},
      {"GET", "/v1/configs", std::nullopt, false, 404},
  }));
  CAPTURE(row.method, row.path);
  const auto found = FindRoute(row.method, row.path);
  const auto* route = std::get_if<Route>(&found);
  REQUIRE((route != nullptr) == row.kind.has_value());
  if (route == nullptr) {
    CHECK(std::get<ApiReply>(found).status == row.status);
    return;
  }
  CHECK(route->kind == *row.kind);
  CHECK(RequiresOperatorToken(route->kind) == row.requires_operator_token);
}

// Guards against an entry without a configured token that accepts any token or
// an empty one.
TEST_CASE("operator requests need the token", "[api]") {
  struct Row {
    const char* header;
    const char* token;
    bool authorized;
  };
  const auto row = GENERATE(values<Row>({{"Bearer secret", "secret", true},
                                         {"Bearer secre", "secret", false},
                                         {"Bearer secreT", "secret", false},
                                         {"secret", "secret", false},
                                         {"", "secret", false},
                                         {"Bearer ", "", false}}));
  CAPTURE(row.header, row.token);
  CHECK(IsAuthorized(row.header, row.token) == row.authorized);
}

// Guards against a configuration change that erases fields it omits.
TEST_CASE("a configuration change must contain all fields", "[api]") {
  struct Row {
    const char* body;
    const char* error_message;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"expected_version":3,"teams":{"a":{"weight":2}},
           "label_overrides":{"m1":{"zone":"b"}},"drained_minions":["m2"]})",
       ""},
      {R"({"expected_version":3,"teams":{},"drained_minions":[]})",
       "'label_overrides' is missing; add it"},
      {R"({"expected_version":3,"teams":{"a":{"weight":0}},
           "label_overrides":{},"drained_minions":[]})",
       "'teams.a.weight' is 0; use a whole number from 1 to 4294967295"},
      {R"({"expected_version":-1,"teams":{},"label_overrides":{},
           "drained_minions":[]})",
       "'expected_version' is -1; use a whole number from 0 to "
       "9223372036854775807"},
      {R"({"expected_version":3,"teams":{},"label_overrides":{"m":{"z":1}},
           "drained_minions":[]})",
       "'label_overrides.m.z' is 1; use a text of 1 to 128 bytes"},
  }));
  CAPTURE(row.body);
  const auto change = ParseConfigChange(row.body);
  CHECK((change ? "" : change.error().message) == row.error_message);
  if (!change) return;
  CellConfig config;
  config.teams["a"].weight = 2;
  config.label_overrides["m1"]["zone"] = "b";
  config.drained_minions = {"m2"};
  CHECK(change.value() == ConfigChange{3, config});
}

TEST_CASE("confirm-dead takes a list of agent ids", "[api]") {
  const auto agents =
      ParseConfirmDead(R"({"agents":["00000000000000ff","0000000000000001"]})");
  REQUIRE(agents);
  CHECK(agents.value() == std::vector<AgentId>{{255}, {1}});
  CHECK_FALSE(ParseConfirmDead(R"({"agents":[]})"));
  CHECK_FALSE(ParseConfirmDead(R"({"agents":["ff"]})"));
}

// Guards against decoding invalid padding or characters to wrong bytes.
TEST_CASE("base64 decoding is strict", "[api]") {
  struct Row {
    std::string bytes;
    const char* text;
  };
  const auto row = GENERATE(values<Row>({{"", ""},
                                         {"f", "Zg=="},
                                         {"fo", "Zm8="},
                                         {"foo", "Zm9v"},
                                         {std::string("\0\xff", 2), "AP8="}}));
  CHECK(ToBase64(row.bytes) == row.text);
  CHECK(FromBase64(row.text) == row.bytes);
  const auto* invalid_text = GENERATE(values<const char*>(
      {"Z", "Zg=", "Zg===", "=Zg=", "Zg==Zg==", " Zm9v", "Zm9v\n", "Zm9-"}));
  CAPTURE(invalid_text);
  CHECK_FALSE(FromBase64(invalid_text).has_value());
}

}  // namespace dottereltrack
