#include "api/job_json.h"

#include <catch2/catch.hpp>

#include "core/entry/admission.h"

namespace dottereltrack {
namespace {

constexpr KeySeed kSeed{WallTime{1'700'000'000'123}, 0x1234, 0xffff'ffff};

ApiResult<ParsedJob> Parse(const std::string& body,
                           const std::string& header_key = "") {
  return ParseJob(EntrySettings{}, body, header_key, kSeed);
}

std::string ErrorMessageFor(const std::string& body,
                            const std::string& header_key = "") {
  const auto job = Parse(body, header_key);
  return job ? "no fault" : job.error().message;
}

}  // namespace

// Guards against fields that are accepted but dropped.
TEST_CASE("each field of a job reaches the request", "[api]") {
  const auto job = Parse(R"({
    "team": "north", "key": "k1", "kind": "resize", "deadline_ms": 5000,
    "selector": {"arch": ["arm", "x86"], "zone": "b"},
    "tasks": [{"payload": "abc", "declared_ms": 70, "memory_bytes": 1024,
               "accelerators": 2},
              {"payload_base64": "AP8="}, {}]})");
  REQUIRE(job);
  const SubmitRequest& request = job.value().request;
  CHECK_FALSE(job.value().key_made_here);
  CHECK(request.team == "north");
  CHECK(request.key == "k1");
  CHECK(request.kind == "resize");
  CHECK(request.deadline == seconds{5});
  CHECK(request.selector.allowed ==
        std::map<std::string, std::vector<std::string>>{
            {"arch", {"arm", "x86"}}, {"zone", {"b"}}});
  REQUIRE(request.tasks.size() == 3);
  CHECK(request.tasks[0] ==
        TaskSpec{std::string("abc"), milliseconds{70}, {1024, 2}});
  CHECK(*request.tasks[1].payload == std::string("\0\xff", 2));
  CHECK(request.tasks[2] == TaskSpec{});
}

// Guards against ignoring an invalid request, and against error messages that
// do not give the field, the value found and the correction.
TEST_CASE("an invalid job gives a specific error message", "[api]") {
  struct Row {
    const char* body;
    const char* message;
  };
  const auto row = GENERATE(values<Row>({
      {"{\n \"team\": }",
       "the body is not JSON at line 2, column 10; send one JSON object in "
       "UTF-8"},
      {"[]", "the body is a JSON array; send one JSON object"},
      {R"({"tasks": []})", "'team' is missing; add it"},
      {R"({"team": "a"})", "'tasks' is missing; add it"},
      {R"({"team": "a", "tasks": [], "labels": {}})",
       "'labels' is not known; remove it, or use one of: team key kind "
       "selector deadline_ms tasks"},
      {R"({"team": "", "tasks": []})",
       "'team' is \"\"; use a text of 1 to 64 bytes"},
      {R"({"team": "a", "tasks": {}})", "'tasks' is {}; use a list of tasks"},
      {R"({"team": "a", "deadline_ms": 0, "tasks": []})",
       "'deadline_ms' is 0; use a whole number from 1 to 600000"},
      {R"({"team": "a", "deadline_ms": 1.5, "tasks": []})",
       "'deadline_ms' is 1.5; use a whole number from 1 to 600000"},
      {R"({"team": "a", "tasks": [{}, {"declared_ms": -1}]})",
       "'tasks[1].declared_ms' is -1; use a whole number from 1 to 86400000"},
      {R"({"team": "a", "tasks": [{"accelerators": 18446744073709551615}]})",
       "'tasks[0].accelerators' is 18446744073709551615; use a whole number "
       "from 0 to 4294967295"},
      {R"({"team": "a", "tasks": [{"payload": 1}]})",
       "'tasks[0].payload' is a JSON number; use a text, or payload_base64 for "
       "other bytes"},
      {R"({"team": "a", "tasks": [{"payload": "", "payload_base64": ""}]})",
       "'tasks[0]' has payload and payload_base64; use one of them"},
      {R"({"team": "a", "tasks": [{"payload_base64": "A\nA="}]})",
       "'tasks[0].payload_base64' is not base64; use the standard alphabet "
       "with padding and without line breaks"},
      {R"({"team": "a", "tasks": [], "selector": ["a"]})",
       "'selector' is [\"a\"]; use an object of at most 32 labels, each with a "
       "value or a list of values"},
      {R"({"team": "a", "tasks": [], "selector": {"zone": []}})",
       "'selector.zone' is []; use 1 to 64 values; an empty list would match "
       "no minion"},
      {R"({"team": "a", "tasks": [], "selector": {"zone": 7}})",
       "'selector.zone' is 7; use a text of 1 to 128 bytes"},
  }));
  CAPTURE(row.body);
  CHECK(ErrorMessageFor(row.body) == row.message);
}

// Guards against accepting different keys in body and header, of which one
// would be silently ignored.
TEST_CASE("the key comes from the body or header or is generated", "[api]") {
  struct Row {
    const char* body;
    const char* header_key;
    const char* key;
    bool made_here;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"team": "a", "tasks": [], "key": "k"})", "", "k", false},
      {R"({"team": "a", "tasks": []})", "k", "k", false},
      {R"({"team": "a", "tasks": [], "key": "k"})", "k", "k", false},
      {R"({"team": "a", "tasks": []})", "",
       "018bcfe5-687b-7234-8000-00003fffffff", true},
  }));
  CAPTURE(row.body, row.header_key);
  const auto job = Parse(row.body, row.header_key);
  REQUIRE(job);
  CHECK(job.value().request.key == row.key);
  CHECK(job.value().key_made_here == row.made_here);
  CHECK(ErrorMessageFor(R"({"team": "a", "tasks": [], "key": "k"})", "other") ==
        "'key' and the header Idempotency-Key differ; send one of them");
}

// Guards against generated keys that the controllers treat as opaque or
// expired.
TEST_CASE("a generated key contains its issue time", "[api]") {
  CHECK(IssueTimeFromKey(GenerateUuidV7(kSeed)) == kSeed.now);
}

// Guards against refusing a resubmission that differs only in encoding, and
// against missing the reuse of a key for another job.
TEST_CASE("the digest ignores how the job is encoded", "[api]") {
  struct Row {
    const char* body;
    bool same;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"tasks":[{"payload":"x"},{}],"team":"a","selector":{"z":"1"}})",
       true},
      {R"({"team": "a", "key": "other", "selector": {"z": ["1"]},
           "tasks": [{"payload_base64": "eA==", "declared_ms": 200}, {}]})",
       true},
      {R"({"team":"b","selector":{"z":"1"},"tasks":[{"payload":"x"},{}]})",
       false},
      {R"({"team":"a","selector":{"z":"2"},"tasks":[{"payload":"x"},{}]})",
       false},
      {R"({"team":"a","selector":{"z":"1"},"tasks":[{},{"payload":"x"}]})",
       false},
      {R"({"team":"a","selector":{"z":"1"},"tasks":[{"payload":"x"}]})", false},
  }));
  CAPTURE(row.body);
  const auto first = Parse(
      R"({"team":"a","selector":{"z":"1"},"tasks":[{"payload":"x"},{}]})");
  const auto second = Parse(row.body);
  REQUIRE(first);
  REQUIRE(second);
  CHECK((first.value().request.body_digest ==
         second.value().request.body_digest) == row.same);
}

}  // namespace dottereltrack
