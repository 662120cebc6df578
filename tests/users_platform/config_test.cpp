#include "platform/config.h"

#include <catch2/catch.hpp>
#include <string>

#include "json/json_stream.h"

namespace dottereltrack::users_platform {
namespace {

constexpr const char* kRoute =
    R"("name":"r","host":"h","prefix":"/","service":"s")";

std::string WithRoute(const std::string& fields) {
  return R"({"version":7,"routes":[{)" + fields + "}]}";
}

TEST_CASE("Each error of a configuration names the field and a remedy",
          "[platform][config]") {
  // Guards against a configuration of which a part is dropped, and against
  // messages that do not lead the operator to the fault.
  struct Row {
    std::string text;
    std::string message;
  };
  const std::string route = kRoute;
  const auto row = GENERATE_COPY(values<Row>({
      {"no json", "the text is not JSON; write one JSON object"},
      {WithRoute(route) + "x", "the text is not JSON; write one JSON object"},
      {"[]", "the text is of type array; write an object"},
      {"7", "the text is of type number; write an object"},
      {R"({"routes":[]})", "version is missing; add this field"},
      {R"({"version":7})", "routes is missing; add this field"},
      {R"({"version":"7","routes":[]})",
       "version is of type string; write a whole number"},
      {R"({"version":-1,"routes":[]})",
       "version is out of range; write a number from 0 to "
       "18446744073709551615"},
      {R"({"version":7,"version":8,"routes":[]})",
       "version is given twice; remove one of the two fields"},
      {R"({"version":7,"routes":{}})",
       "routes is of type object; write an array"},
      {R"({"version":7,"routes":[3]})",
       "routes[0] is of type number; write an object"},
      {R"({"version":7,"routes":[[]]})",
       "routes[0] is of type array; write an object"},
      {R"({"version":7,"routes":[{)" + route + R"(},{"name":"r"}]})",
       "routes[1].host is missing; add this field"},
      {WithRoute(route + R"(,"host":"g")"),
       "routes[0].host is given twice; remove one of the two fields"},
      {WithRoute(route + R"(,"priority":{})"),
       "routes[0].priority is of type object; write a whole number"},
      {WithRoute(route + R"(,"priority":1.5)"),
       "routes[0].priority is of type number; write a whole number"},
      {WithRoute(route + R"(,"max_attempts":-1)"),
       "routes[0].max_attempts is out of range; write a number from 0 to "
       "1000000"},
      {WithRoute(route + R"(,"stretch":1e400)"),
       "routes[0].stretch is of type null; write a number"},
      {WithRoute(route + R"(,"stretch":1001)"),
       "routes[0].stretch is out of range; write a factor from 0 to 1000"},
      {WithRoute(route + R"(,"target_latency_ms":86400001)"),
       "routes[0].target_latency_ms is out of range; write a number from 0 to "
       "86400000"},
  }));
  CAPTURE(row.text);
  const auto config = ParseConfig(row.text);
  REQUIRE_FALSE(config);
  CHECK(config.error().message == row.message);
}

TEST_CASE("Fields that the reader does not know do not matter",
          "[platform][config]") {
  // Guards against an entry that refuses the configuration of a newer release.
  const auto value =
      GENERATE(as<std::string>(), "1e400", "null", R"({"name":1,"host":[]})",
               R"([{"name":7},[["routes"]]])",
               std::string(1'000, '[') + std::string(1'000, ']'));
  const auto name = GENERATE(as<std::string>(), R"("name")", R"("x")");
  CAPTURE(value.substr(0, 40), name);
  const std::string object = "{" + name + ":" + value + "}";
  const auto config = ParseConfig(
      R"({"limits":)" + object + R"(,"version":7,"routes":[{"unknown":)" +
      object + "," + kRoute + R"(}],"services":)" + value + "}");
  REQUIRE(config);
  CHECK(config.value().version == 7);
  CHECK(config.value().queues == pool::QueueTable{{"r", "h", "/", "s"}});
}

TEST_CASE("A configuration beyond the bounds is refused as a whole",
          "[platform][config]") {
  // Guards against texts that take up the memory of a small machine.
  struct Row {
    const char* name;
    std::string text;
    std::string message;
  };
  std::string many;
  for (int n = 0; n < 25'000; ++n) many += "1,";
  std::string routes;
  for (int n = 0; n < 50'000; ++n) routes += std::string("{") + kRoute + "},";
  const auto row = GENERATE_COPY(values<Row>({
      {"bytes", std::string((8U << 20) + 1, ' '),
       "the text has more than 8388608 bytes; send less at a time"},
      {"values", R"({"version":7,"routes":[)" + routes + "{}]}",
       "the text has more than 200000 values; send less at a time"},
      {"values of a route", WithRoute(R"("x":[)" + many + "1]," + kRoute),
       "routes[0] is of type null; write an object"},
  }));
  CAPTURE(row.name);
  const auto config = ParseConfig(row.text);
  REQUIRE_FALSE(config);
  CHECK(config.error().message == row.message);
}

}  // namespace
}  // namespace dottereltrack::users_platform
