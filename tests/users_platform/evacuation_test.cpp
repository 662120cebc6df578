#include "platform/evacuation.h"

#include <catch2/catch.hpp>

namespace dottereltrack::users_platform {
namespace {

TEST_CASE("Only a usable item evacuates a data centre",
          "[platform][evacuation]") {
  // Guards against a mistyped key that passes unnoticed, and against log lines
  // for keys of the operator that are not this system's.
  struct Row {
    const char* key;
    const char* value;
    std::vector<std::string> data_centres;
    bool is_used;
    bool has_problem;
  };
  const std::vector<std::string> known{"north", "south"};
  const auto row = GENERATE_COPY(
      values<Row>({{"op/evacuate/north", "{}", known, true, false},
                   {"op/evacuate/north", R"({"by":"x"})", {}, true, false},
                   {"op/evacuate/east", "{}", known, true, true},
                   {"op/evacuate/east", "{}", {}, true, false},
                   {"op/evacuate/", "{}", {}, true, true},
                   {"op/evacuate/north", "", known, true, true},
                   {"op/evacuate/north", "[]", known, true, true},
                   {"op/evacuate/north", "{", known, true, true},
                   {"op/config", "{", known, true, false},
                   {"op/wave/1", "{", known, false, false},
                   {"op/config2", "{", known, false, false}}));
  CAPTURE(row.key, row.value);
  CHECK(IsUsedOperatorKey(row.key) == row.is_used);
  const StoreItem item{row.key, row.value, 7, false};
  CHECK(FindOperatorItemProblem(item, row.data_centres).empty() ==
        !row.has_problem);
}

TEST_CASE("The view has the evacuations with their revisions",
          "[platform][evacuation]") {
  // Guards against the revision of the list in place of that of the key, which
  // another process may already have seen removed.
  const StoreView view{
      {{"op/config", "{}", 3, false}, {"op/evacuate/north", "{}", 7, false}},
      9};
  const std::vector<std::string> known{"north", "south"};
  CHECK(ReadEvacuations(view, known) ==
        pool::EvacuationView{{{"north", 7, true}}, 9, known});
}

}  // namespace
}  // namespace dottereltrack::users_platform
