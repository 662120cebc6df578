#include <catch2/catch.hpp>
#include <string>

#include "dottereltrack/cell_store.h"

namespace dottereltrack {
namespace {

CellTable MakeFullTable() {
  CellTable table;
  table.generation = 7;
  table.dispatcher = EntryId{0xfedcba9876543210};
  table.members = {{EntryId{1}, {"127.0.0.1", 7101}, "kgn-a"},
                   {EntryId{~0ULL}, {"127.0.0.2", 65535}, "kgn-b"}};
  table.roster = {{AgentId{3}, "booking-1", "kgn-a", "r1"}};
  table.lost = {{AgentId{4}, "r2", 1'700'000'000'000}};
  table.two_racks_since_ms = 1'600'000'000'000;
  table.writer_nonce = 0x8000000000000001;
  return table;
}

CellConfig MakeFullConfig() {
  CellConfig config;
  config.version = 12;
  config.teams = {{"north", {40, 3}}, {"south", {}}};
  config.label_overrides = {{"booking-1", {{"pool", "a"}, {"gpu", ""}}}};
  config.drained_minions = {"booking-2", "booking \"3\"\n"};
  config.writer_nonce = ~0ULL;
  return config;
}

}  // namespace

// Guards against ids that lose their low bits when stored as JSON, which would
// give two processes the same id.
TEST_CASE("an encoded table parses to the same value", "[json]") {
  const auto table =
      GENERATE(values<CellTable>({CellTable{}, MakeFullTable()}));
  const auto read = ParseCellTable(EncodeCellTable(table));
  REQUIRE(read);
  CHECK(read.value() == table);
}

TEST_CASE("an encoded configuration parses to the same value", "[json]") {
  const auto config =
      GENERATE(values<CellConfig>({CellConfig{}, MakeFullConfig()}));
  const auto read = ParseCellConfig(EncodeCellConfig(config));
  REQUIRE(read);
  CHECK(read.value() == config);
}

// Guards against a table that becomes unreadable during a rolling upgrade
// because a newer version has added fields.
TEST_CASE("unknown fields are ignored", "[json]") {
  const auto table = ParseCellTable(
      R"({"generation": 2, "dispatcher": "000000000000000a", "colour": {},
          "members": [{"id": "000000000000000a", "new": 1, "peer_address":
          {"host": "127.0.0.1", "port": 1, "zone": []}}], "roster": []})");
  REQUIRE(table);
  CHECK(table.value().generation == 2);
  CHECK(table.value().members.front().id == EntryId{10});
  CHECK(ParseCellConfig(R"({"later": [1, 2], "version": 3})"));
}

// Guards against accepting a partly read value, and against error messages that
// do not name the invalid field.
TEST_CASE("an invalid table is rejected with the name of the field", "[json]") {
  struct Row {
    const char* text;
    JsonErrorKind kind;
    const char* field;
    const char* remedy;
  };
  const auto row = GENERATE(values<Row>(
      {{"{", JsonErrorKind::kMalformed, "", "write one JSON object"},
       {"[]", JsonErrorKind::kWrongType, "", "write an object"},
       {R"({"dispatcher": "0000000000000001"})", JsonErrorKind::kMissing,
        "generation", "add this field"},
       {R"({"generation": "2"})", JsonErrorKind::kWrongType, "generation",
        "write a whole number"},
       {R"({"generation": -1})", JsonErrorKind::kBadValue, "generation",
        "write a number from 0 to"},
       {R"({"generation": 1.5})", JsonErrorKind::kWrongType, "generation",
        "write a whole number"},
       {R"({"generation": 1, "dispatcher": "12"})", JsonErrorKind::kBadValue,
        "dispatcher", "write 16 hexadecimal digits"},
       {R"({"generation": 1, "dispatcher": "-000000000000012"})",
        JsonErrorKind::kBadValue, "dispatcher", "write 16 hexadecimal digits"},
       {R"({"generation": 1, "dispatcher": 18})", JsonErrorKind::kWrongType,
        "dispatcher", "write a string"},
       {R"({"generation": 1, "dispatcher": "0000000000000001",
            "members": {}})",
        JsonErrorKind::kWrongType, "members", "write an array"},
       {R"({"generation": 1, "dispatcher": "0000000000000001", "members":
            [{"id": "0000000000000001", "peer_address": {"host": "h",
            "port": 65536}}]})",
        JsonErrorKind::kBadValue, "members[0].peer_address.port",
        "write a number from 0 to 65535"}}));
  CAPTURE(row.text);
  const auto table = ParseCellTable(row.text);
  REQUIRE_FALSE(table);
  CHECK(table.error().kind == row.kind);
  CHECK(table.error().field == row.field);
  CHECK_THAT(table.error().message, Catch::Contains(row.field));
  CHECK_THAT(table.error().message, Catch::Contains(row.remedy));
}

TEST_CASE("an invalid configuration is rejected with the name of the field",
          "[json]") {
  struct Row {
    const char* text;
    JsonErrorKind kind;
    const char* field;
  };
  const auto row = GENERATE(values<Row>(
      {{"null", JsonErrorKind::kWrongType, ""},
       {R"({"teams": []})", JsonErrorKind::kWrongType, "teams"},
       {R"({"teams": {"n": 1}})", JsonErrorKind::kWrongType, "teams.n"},
       {R"({"teams": {"n": {"weight": 0}}})", JsonErrorKind::kBadValue,
        "teams.n.weight"},
       {R"({"teams": {"n": {"max_in_progress": 4294967296}}})",
        JsonErrorKind::kBadValue, "teams.n.max_in_progress"},
       {R"({"label_overrides": {"m": {"pool": 1}}})", JsonErrorKind::kWrongType,
        "label_overrides.m.pool"},
       {R"({"drained_minions": ["a", null]})", JsonErrorKind::kWrongType,
        "drained_minions[1]"},
       {R"({"writer_nonce": 5})", JsonErrorKind::kWrongType, "writer_nonce"}}));
  CAPTURE(row.text);
  const auto config = ParseCellConfig(row.text);
  REQUIRE_FALSE(config);
  CHECK(config.error().kind == row.kind);
  CHECK(config.error().field == row.field);
  CHECK_THAT(config.error().message, Catch::Contains(row.field));
}

}  // namespace dottereltrack
