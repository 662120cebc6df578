#include "api/announcement.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace dottereltrack {
namespace {

using nlohmann::json;

json SampleBody() {
  return {{"name", "booking-1"},
          {"instance", "00000000000000ff"},
          {"address", {{"host", "127.0.0.1"}, {"port", 9000}}},
          {"path", "/run"},
          {"labels", {{"model", "b"}}},
          {"slots", 8},
          {"connections", 64},
          {"memory_bytes", 1'073'741'824},
          {"accelerators", 2},
          {"rack", "r1"},
          {"data_centre", "kgn-a"}};
}

MinionDescription Defaults() {
  MinionDescription defaults;
  defaults.rack = "r9";
  defaults.data_centre = "spt-a";
  return defaults;
}

}  // namespace

// Guards against a field that is dropped or stored in the wrong member.
TEST_CASE("an announcement is parsed completely", "[announcement]") {
  const auto result = ParseAnnouncement(SampleBody().dump(), Defaults());
  REQUIRE(result.has_value());
  const MinionDescription minion{
      "booking-1", 255, {{"model", "b"}}, 8,    64,
      1ULL << 30,  2,   "kgn-a",          "r1", false};
  CHECK((result.value().minion == minion));
  CHECK((result.value().target == MinionTarget{{"127.0.0.1", 9000}, "/run"}));
}

TEST_CASE("optional announcement fields have defaults", "[announcement]") {
  json body = SampleBody();
  for (const char* name :
       {"path", "labels", "accelerators", "rack", "data_centre"}) {
    body.erase(name);
  }
  const auto result = ParseAnnouncement(body.dump(), Defaults());
  REQUIRE(result.has_value());
  const auto& [minion, target] = result.value();
  CHECK(minion.rack == "r9");
  CHECK(minion.data_centre == "spt-a");
  CHECK(minion.accelerators == 0);
  CHECK(minion.labels.empty());
  CHECK(target.path == "/");
}

// Guards against accepting an announcement with an unusable value, and against
// error messages that do not name the field.
TEST_CASE("the refusal of an announcement names the invalid field",
          "[announcement]") {
  struct Row {
    const char* pointer;
    json value;
    const char* field;
  };
  const auto row = GENERATE(values<Row>({
      {"/name", "", "'name'"},
      {"/name", std::string(65, 'x'), "'name'"},
      {"/instance", 255, "'instance'"},
      {"/instance", "ff", "'instance'"},
      {"/instance", "zz000000000000ff", "'instance'"},
      {"/address", "127.0.0.1:9000", "'address'"},
      {"/address/host", "localhost", "'address.host'"},
      {"/address/host", nullptr, "'address.host'"},
      {"/address/port", 0, "'address.port'"},
      {"/address/port", 65'536, "'address.port'"},
      {"/path", "run", "'path'"},
      {"/path", "/a b", "'path'"},
      {"/path", "/a\r\nHost: x", "'path'"},
      {"/labels", json::array(), "'labels'"},
      {"/labels/model", 3, "'labels.model'"},
      {"/slots", 0, "'slots'"},
      {"/slots", 1.5, "'slots'"},
      {"/slots", 4'097, "'slots'"},
      {"/connections", -1, "'connections'"},
      {"/memory_bytes", "1G", "'memory_bytes'"},
      {"/accelerators", 18'446'744'073'709'551'615ULL, "'accelerators'"},
      {"/colour", "red", "'colour'"},
  }));
  CAPTURE(row.pointer, row.value.dump());
  json body = SampleBody();
  body[json::json_pointer(row.pointer)] = row.value;
  const auto result = ParseAnnouncement(body.dump(), Defaults());
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().kind == RefusalKind::kInvalidRequest);
  CHECK_THAT(result.error().message, Catch::StartsWith(row.field));
  CHECK_THAT(result.error().message,
             Catch::Contains("; use") || Catch::Contains("; remove"));
}

TEST_CASE("an announcement without a required field is refused",
          "[announcement]") {
  const auto* name = GENERATE(values<const char*>(
      {"name", "instance", "address", "slots", "connections", "memory_bytes"}));
  json body = SampleBody();
  body.erase(name);
  const auto result = ParseAnnouncement(body.dump(), Defaults());
  REQUIRE_FALSE(result.has_value());
  CHECK_THAT(result.error().message,
             Catch::Contains(name) && Catch::Contains("missing"));
}

TEST_CASE("a leave request may contain the instance id", "[announcement]") {
  struct Row {
    const char* body;
    bool valid;
    std::optional<std::uint64_t> instance;
  };
  const auto row = GENERATE(values<Row>({
      {"", true, std::nullopt},
      {"{}", true, std::nullopt},
      {R"({"instance":"00000000000000ff","name":"x"})", true, 255},
      {R"({"instance":255})", false, std::nullopt},
      {"[", false, std::nullopt},
  }));
  CAPTURE(row.body);
  const auto result = ParseLeave(row.body);
  REQUIRE(result.has_value() == row.valid);
  if (row.valid) CHECK(result.value() == row.instance);
}

}  // namespace dottereltrack
