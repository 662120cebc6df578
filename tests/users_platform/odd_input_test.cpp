#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "json/bounded_json.h"
#include "platform/config.h"
#include "platform/job.h"
#include "platform/metadata_store.h"
#include "platform/minion.h"
#include "platform/settings.h"

namespace dottereltrack::users_platform {
namespace {

using nlohmann::json;

std::string Nested(std::size_t levels, const std::string& opening,
                   const std::string& closing) {
  std::string text;
  for (std::size_t n = 0; n < levels; ++n) text += opening;
  text += "1";
  for (std::size_t n = 0; n < levels; ++n) text += closing;
  return text;
}

std::string NestedArrays() { return Nested(200'000, "[", "]"); }
std::string NestedObjects() { return Nested(200'000, R"({"a":)", "}"); }

std::string ManyValues() {
  std::string text = "[0";
  for (int n = 0; n < 50'000; ++n) text += ",0";
  return text + "]";
}

HttpResult Answered(const std::string& body) {
  return {HttpEnd::kAnswered, 200, body, ""};
}

// A minion's report that is complete but for one field, which has the given
// value.
std::string ReportWith(const std::string& field, const std::string& value) {
  // The last value of a repeated field counts.
  return R"({"service":"s","address":"10.0.0.9:8080","zone":"a",)"
         R"("version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
         R"("sequence":4,"clock_ms":1,"born":1700,"labels":["a","r1"],)"
         R"("capacity":{"cpu":1,"task_memory_mb":1,"gpu":0},")" +
         field + R"(":)" + value + "}";
}

// A value that no field of the platform's messages takes.
std::string OddValue() {
  return GENERATE(as<std::string>(), "null", "[]", "{}", "1e999", "-1e999",
                  "-1", "1.5", "18446744073709551616", "true",
                  Nested(200'000, "[", "]"), Nested(200'000, R"({"a":)", "}"));
}

TEST_CASE("An odd item of the store costs only itself", "[platform][store]") {
  // Guards against processes that stop following a list, or end, because of one
  // item that another program has written.
  struct Row {
    std::string item;
    std::string key;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"key":"odd","value":"no base64!","revision":5})", "odd"},
      {R"({"key":"odd","value":"YQ==","revision":1e999})", "odd"},
      {R"({"key":"odd","value":"YQ==","revision":-1})", "odd"},
      {R"({"key":"odd","value":"YQ==","revision":18446744073709551616})",
       "odd"},
      {R"({"key":"odd","value":"YQ=="})", "odd"},
      {R"({"key":"odd","value":)" + NestedArrays() + R"(,"revision":5})",
       "odd"},
      {R"({"key":"odd","value":)" + NestedObjects() + R"(,"revision":5})",
       "odd"},
      {R"({"key":"odd","value":)" + ManyValues() + R"(,"revision":5})", ""},
      {R"({"key":7,"value":"YQ==","revision":5})", ""},
      {R"({"value":"YQ==","revision":5})", ""},
      {"17", ""},
      {"null", ""},
      {NestedArrays(), ""},
  }));
  const std::string list = GENERATE("items", "events");
  CAPTURE(list, row.item.substr(0, 80));
  const std::string good = R"({"key":"good","value":"YQ==","revision":4})";
  const auto result =
      ParseStoreResponse(Answered(R"({")" + list + R"(":[)" + row.item + "," +
                                  good + "," + row.item + R"(],"as_of":9})"));
  REQUIRE(result.status == StoreStatus::kOk);
  CHECK(result.view.as_of == 9);
  REQUIRE(result.view.items.size() == 3);
  CHECK(result.view.items[1] == StoreItem{"good", "a", 4, false});
  for (const std::size_t n : {0, 2}) {
    CHECK(result.view.items[n].key == row.key);
    CHECK_FALSE(result.view.items[n].problem.empty());
    CHECK(result.view.items[n].value.empty());
  }
  CHECK(HasItemWithoutKey(result.view.items) == row.key.empty());
}

TEST_CASE("A response of the store without usable fields is no answer",
          "[platform][store]") {
  // Guards against watches that continue from a revision nobody has named.
  const auto body =
      GENERATE(as<std::string>(), R"({"items":[],"as_of":-1})",
               R"({"items":[],"as_of":1e999})", R"({"items":{},"as_of":9})",
               R"({"items":[],"truncated":"no","as_of":9})",
               R"({"items":[],"as_of":9)", "\xff\xfe");
  CAPTURE(body);
  CHECK(ParseStoreResponse(Answered(body)).status == StoreStatus::kUnanswered);
}

TEST_CASE("A report with an odd value is refused", "[platform][minion]") {
  // Guards against processes that end, or adopt a minion that does not exist,
  // because of a report from another writer.
  const auto field =
      GENERATE("service", "address", "zone", "version", "slots", "state",
               "cold_remaining_ms", "sequence", "clock_ms", "born", "capacity",
               "labels", "drain_remaining_ms");
  const auto value = OddValue();
  const bool is_allowed = std::string(field) == "labels" && value == "[]";
  CAPTURE(field, value.substr(0, 80));
  CHECK(ParseMinionReport("i-1", ReportWith(field, value)).has_value() ==
        is_allowed);
}

TEST_CASE("A report with a value out of range is refused",
          "[platform][minion]") {
  // Guards against sums that overflow and ports that are truncated.
  struct Row {
    const char* field;
    const char* value;
  };
  const auto row = GENERATE(values<Row>(
      {{"address", R"("10.0.0.9:65536")"},
       {"address", R"("10.0.0.9:0")"},
       {"address", R"("10.0.0.9:-1")"},
       {"address", R"("10.0.0.9:99999999999999999999")"},
       {"address", R"("10.0.0.9")"},
       {"address", R"("[::1:8080")"},
       {"sequence", "9007199254740993"},
       {"born", "9223372036854775808"},
       {"capacity", R"({"cpu":1,"gpu":0})"},
       {"capacity", R"({"cpu":-5,"task_memory_mb":1,"gpu":0})"},
       {"capacity",
        R"({"cpu":9223372036854775807,"task_memory_mb":1,"gpu":0})"},
       {"capacity", R"({"cpu":1,"task_memory_mb":1e999,"gpu":0})"},
       {"capacity", R"({"cpu":1,"task_memory_mb":1,"gpu":4294967296000})"},
       {"labels", R"(["a","r1",7])"}}));
  CAPTURE(row.field, row.value);
  CHECK_FALSE(ParseMinionReport("i-1", ReportWith(row.field, row.value)));
}

TEST_CASE("An odd row of a run list costs only itself", "[platform][minion]") {
  // Guards against leases that lapse because no poll can be read any more.
  const std::string good = R"(["5c0e7a21d94b36f8.0.0.17",2,"",41,12])";
  const auto odd = GENERATE(as<std::string>(), R"(["x",1,"",0,0])",
                            R"([7,1,"",0,0])", "[]", "7", "null", R"({"a":1})",
                            R"(["5c0e7a21d94b36f8.0.0.9",-1,"",0,0])",
                            R"(["5c0e7a21d94b36f8.0.0.9",1e999,"",0,0])",
                            R"(["5c0e7a21d94b36f8.0.0.99999999999",1,"",0,0])",
                            Nested(200'000, "[", "]"));
  CAPTURE(odd.substr(0, 80));
  const auto lists = ParseLookAnswer(
      3, Answered(R"({"clock_ms":482113,"running":[)" + odd + "," + good +
                  R"(],"finished":[)" + odd + R"(,[58,)" +
                  R"("5c0e7a21d94b36f8.0.0.8",1,"done",""]]})"));
  CHECK(lists.answer == pool::CallAnswer::kAccepted);
  REQUIRE(lists.running.size() == 1);
  CHECK(lists.running[0] ==
        pool::ListedRun{{{0x5c0e7a21d94b36f8, 0, 17}, 2}, 41});
  REQUIRE(lists.ended.size() == 1);
  CHECK(lists.ended[0].number == 58);
  CHECK(lists.refused_rows == 2);
  CHECK_FALSE(lists.first_row_problem.empty());
}

TEST_CASE("Progress that is no percentage does not hide the run",
          "[platform][minion]") {
  // Guards against conversions of numbers that do not fit, and against runs
  // that count as lost because of their progress.
  struct Row {
    const char* percent;
    int expected;
  };
  const auto row = GENERATE(values<Row>({{"41.9", 41},
                                         {"1e300", 0},
                                         {"1e999", 0},
                                         {"-1", 0},
                                         {"\"x\"", 0},
                                         {"null", 0}}));
  CAPTURE(row.percent);
  const auto lists = ParseLookAnswer(
      3,
      Answered(R"({"clock_ms":1,"running":[["5c0e7a21d94b36f8.0.0.17",2,"",)" +
               std::string(row.percent) + "]]}"));
  REQUIRE(lists.running.size() == 1);
  CHECK(lists.running[0].percent == row.expected);
  CHECK(lists.refused_rows == 0);
}

TEST_CASE("A job with a value out of range is malformed", "[platform][job]") {
  // Guards against times that overflow, and against tasks that free resources
  // when they start.
  const auto step = GENERATE(
      as<std::string>(), R"({"count":1,"cpu":-1})",
      R"({"count":1,"cpu":9223372036854775807})", R"({"count":1,"cpu":1e999})",
      R"({"count":1,"task_memory_mb":-1})", R"({"count":1,"gpu":1e12})",
      R"({"count":1,"estimated_ms":9223372036854775807})",
      R"({"count":1,"estimated_ms":-1})", R"({"count":4294967296})",
      R"({"count":-1})", "null", "7", Nested(200'000, "[", "]"));
  CAPTURE(step.substr(0, 80));
  CHECK_FALSE(ParseJobSpec(
      7, R"({"best_effort":true,"spec":"t","steps":[)" + step + "]}"));
}

TEST_CASE("A deadline beyond a day counts as a day", "[platform][job]") {
  // Guards against jobs that are given up at once because their deadline
  // overflows.
  HttpRequest request;
  request.method = "POST";
  request.path = "/a/5c0e7a21d94b36f8";
  request.headers["x-dottereltrack-deadline-ms"] = "9223372036854775807";
  CHECK(ParseClientCall(request)->client_timeout == milliseconds{86'400'000});
}

TEST_CASE("A configuration with a value out of range is rejected",
          "[platform][config]") {
  // Guards against objectives that overflow.
  const auto field =
      GENERATE(R"("priority":4294967296)", R"("max_attempts":-1)",
               R"("stretch":1e300)", R"("stretch":1e999)", R"("stretch":-1)",
               R"("target_latency_ms":9223372036854775807)");
  CAPTURE(field);
  CHECK_FALSE(ParseConfig(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("service":"s",)" +
      std::string(field) + "}]}"));
}

TEST_CASE("An odd seed costs only itself", "[platform][settings]") {
  // Guards against processes that end at each start because of one seed.
  const auto odd =
      GENERATE(as<std::string>(), R"("10.2.0.30:65536")", R"("nowhere")", "7",
               "null", "1e999", Nested(200'000, "[", "]"));
  CAPTURE(odd.substr(0, 80));
  const auto settings = ParseNodeSettings(
      R"({"node_name":"n","zone":"a","ip":"10.1.0.13","listen":{},)"
      R"("internal_ports":[7720],"platform":{"address":"10.200.1.7:8169"},)"
      R"("seeds":[)" +
      odd + R"(,"10.2.0.31:8166"]})");
  REQUIRE(settings);
  CHECK(settings.value().seeds == std::vector<Endpoint>{{"10.2.0.31", 7720}});
  CHECK(settings.value().seed_problems.size() == 1);
}

TEST_CASE("Values beyond a limit are replaced and the rest holds", "[json]") {
  // Guards against stack overflows in code that visits values recursively, and
  // against bodies that take up the memory of a small machine.
  struct Row {
    std::string text;
    std::string expected;
  };
  const JsonLimits limits{.max_bytes = 1'000,
                          .max_depth = 4,
                          .max_values = 60,
                          .max_item_values = 6};
  const auto row = GENERATE(values<Row>(
      {{R"({"a":[[[1]]],"b":2})", R"({"a":[[[1]]],"b":2})"},
       {R"({"a":[[[[[1]],3]]],"b":2})", R"({"a":[[[null,3]]],"b":2})"},
       {R"({"a":[[1,2,3,4,5],[1,2,3,4,5,6],7],"b":2})",
        R"({"a":[[1,2,3,4,5],null,7],"b":2})"},
       {R"({"a":[{"x":[1,2,3,4,5,6]},7],"b":2})", R"({"a":[null,7],"b":2})"},
       {R"({"a":1e999,"b":[-1e999,"1e999",1e-999,1e308]})",
        R"({"a":null,"b":[null,"1e999",0.0,1e308]})"},
       {R"(["\"1e999",1e400])", R"(["\"1e999",null])"},
       {R"({"a":1,"a":2})", R"({"a":2})"}}));
  CAPTURE(row.text);
  const auto parsed =
      ParseBoundedJson(row.text, JsonComments::kRefused, limits);
  REQUIRE(parsed);
  CHECK(parsed.value() == json::parse(row.expected));
}

TEST_CASE("A text beyond a limit is refused", "[json]") {
  // Guards against a body that is read only in part.
  struct Row {
    std::string text;
    JsonErrorKind kind;
    std::size_t byte;
  };
  const JsonLimits limits{.max_bytes = 40, .max_values = 6};
  const auto row =
      GENERATE(values<Row>({{std::string(41, ' '), JsonErrorKind::kTooLarge, 0},
                            {"[1,2,3,4,5,6]", JsonErrorKind::kTooLarge, 0},
                            {"[1,2", JsonErrorKind::kMalformed, 5},
                            {"[1e999,}", JsonErrorKind::kMalformed, 8},
                            {"{} x", JsonErrorKind::kMalformed, 4},
                            {"", JsonErrorKind::kMalformed, 1}}));
  CAPTURE(row.text);
  const auto parsed =
      ParseBoundedJson(row.text, JsonComments::kRefused, limits);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error().kind == row.kind);
  CHECK(parsed.error().byte == row.byte);
}

}  // namespace
}  // namespace dottereltrack::users_platform
