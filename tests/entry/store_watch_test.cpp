#include "apps/entry/store_watch.h"

#include <catch2/catch.hpp>

namespace dottereltrack {

// Guards against an entry that overloads a failing store, and against one that
// takes long to notice changes after the store has recovered.
TEST_CASE("the delay between watches grows only with failures", "[entry]") {
  struct Row {
    std::uint32_t consecutive_failures;
    bool has_value;
    milliseconds duration;
    milliseconds next_delay;
  };
  const auto row = GENERATE(values<Row>({
      {0, true, milliseconds{1}, milliseconds{0}},
      {0, false, milliseconds{30'000}, milliseconds{0}},
      {0, false, milliseconds{500}, milliseconds{200}},
      {1, false, milliseconds{500}, milliseconds{400}},
      {5, false, milliseconds{500}, milliseconds{5'000}},
      {4'000'000'000, false, milliseconds{500}, milliseconds{5'000}},
      {5, true, milliseconds{1}, milliseconds{0}},
      {5, false, milliseconds{1'000}, milliseconds{0}},
  }));
  CAPTURE(row.consecutive_failures, row.has_value, row.duration.count());
  WatchBackoff before;
  before.consecutive_failures = row.consecutive_failures;
  CHECK(NextWatchDelay(UpdateBackoff(before, row.has_value, row.duration)) ==
        row.next_delay);
}

}  // namespace dottereltrack
