#include <catch2/catch.hpp>

#include "core/ids.h"

namespace dottereltrack {

// Guards against two teams that share a result because they use the same key,
// and against ambiguous concatenation of team and key.
TEST_CASE("submission ids differ unless team and key are both equal", "[ids]") {
  struct Row {
    const char* team;
    const char* key;
    bool same;
  };
  const auto row = GENERATE(values<Row>({{"north", "k1", true},
                                         {"south", "k1", false},
                                         {"north", "k2", false},
                                         {"northk", "1", false}}));
  CAPTURE(row.team, row.key);
  const auto id = MakeSubmissionId("north", "k1");
  CHECK((MakeSubmissionId(row.team, row.key) == id) == row.same);
}

TEST_CASE("a submission id survives conversion to text and back", "[ids]") {
  const auto id = MakeSubmissionId("north", "k1");
  CHECK(ParseSubmissionId(ToHex(id)) == id);
}

TEST_CASE("malformed submission ids are rejected", "[ids]") {
  const auto* text = GENERATE(
      values<const char*>({"", "12", "zz000000000000000000000000000000",
                           "000000000000000000000000000000000"}));
  CAPTURE(text);
  CHECK_FALSE(ParseSubmissionId(text).has_value());
}

}  // namespace dottereltrack
