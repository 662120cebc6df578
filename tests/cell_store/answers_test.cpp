#include <catch2/catch.hpp>

#include "platform/cell_store.h"

namespace dottereltrack {
namespace {

using users_platform::DecodeConfig;
using users_platform::ParseStoreResponse;
using users_platform::ToWriteResult;

}  // namespace

// Guards against reporting a write that may have been applied as not applied,
// which would let a second dispatcher become active alongside the first.
TEST_CASE("each HTTP result of a write maps to the status that it proves",
          "[store]") {
  struct Row {
    const char* name;
    HttpResult result;
    WriteStatus status;
    std::uint64_t revision;
  };
  const auto row = GENERATE(values<Row>(
      {{"applied",
        {HttpEnd::kAnswered, 200, R"({"revision": 9})"},
        WriteStatus::kApplied,
        9},
       {"applied, unreadable answer",
        {HttpEnd::kAnswered, 200, "{}"},
        WriteStatus::kUndecided,
        0},
       {"conflict",
        {HttpEnd::kAnswered, 412, R"({"items": []})"},
        WriteStatus::kConflict,
        0},
       {"unavailable",
        {HttpEnd::kAnswered, 503, ""},
        WriteStatus::kNotApplied,
        0},
       {"too many calls",
        {HttpEnd::kAnswered, 429, ""},
        WriteStatus::kNotApplied,
        0},
       {"gateway error",
        {HttpEnd::kAnswered, 502, ""},
        WriteStatus::kUndecided,
        0},
       {"server error",
        {HttpEnd::kAnswered, 500, ""},
        WriteStatus::kUndecided,
        0},
       {"not connected", {HttpEnd::kNotConnected}, WriteStatus::kNotApplied, 0},
       {"refused by the client",
        {HttpEnd::kRefused},
        WriteStatus::kNotApplied,
        0},
       {"timed out", {HttpEnd::kTimedOut}, WriteStatus::kUndecided, 0},
       {"connection lost",
        {HttpEnd::kTransportError},
        WriteStatus::kUndecided,
        0},
       {"too large", {HttpEnd::kTooLarge}, WriteStatus::kUndecided, 0}}));
  CAPTURE(row.name);
  const auto written = ToWriteResult(ParseStoreResponse(row.result));
  CHECK(written.status == row.status);
  CHECK(written.revision == row.revision);
}

// Guards against treating a failed read as a store without a value, in which
// case a starting entry would make itself the dispatcher.
TEST_CASE("only status 404 means that the store has no value", "[store]") {
  struct Row {
    const char* name;
    HttpResult result;
    std::optional<std::uint64_t> revision;
    bool has_problem;
  };
  // The values are base64 of {} and [].
  const auto row = GENERATE(values<Row>(
      {{"value",
        {HttpEnd::kAnswered, 200,
         R"({"key": "k", "revision": 4, "value": "e30="})"},
        4,
        false},
       {"no value", {HttpEnd::kAnswered, 404, "", "x"}, 0, false},
       {"unavailable", {HttpEnd::kAnswered, 503, "", "x"}, {}, true},
       {"not JSON", {HttpEnd::kAnswered, 200, "<html>"}, {}, true},
       {"no revision",
        {HttpEnd::kAnswered, 200, R"({"key": "k", "value": "e30="})"},
        {},
        true},
       {"no item", {HttpEnd::kAnswered, 200, "{}"}, {}, true},
       {"bad value",
        {HttpEnd::kAnswered, 200,
         R"({"key": "k", "revision": 4, "value": "W10="})"},
        {},
        true},
       {"timed out", {HttpEnd::kTimedOut, 0, "", "slow"}, {}, true}}));
  CAPTURE(row.name);
  std::string problem = "old";
  const auto config = DecodeConfig(ParseStoreResponse(row.result), &problem);
  CHECK(config.has_value() == row.revision.has_value());
  if (config && row.revision) CHECK(config->revision == *row.revision);
  CHECK(problem.empty() != row.has_problem);
}

}  // namespace dottereltrack
