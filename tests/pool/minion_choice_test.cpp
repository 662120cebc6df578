#include "core/pool/entry/minion_choice.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

TEST_CASE("A task starts only where it can meet its goal",
          "[pool][entry][placement]") {
  // Guards against starts that are late for certain, and against tasks with
  // little time left on minions that may lose their start.
  struct Row {
    const char* name;
    MinionOption minion;
    bool can_start;
  };
  const Resources room{2'000, 64, 0};
  const auto row = GENERATE_COPY(
      values<Row>({{"fast enough", {.free = room, .slowness = 2}, true},
                   {"too slow", {.free = room, .slowness = 2.1}, false},
                   {"no room", {.free = {1'000, 64, 0}}, false},
                   {"time for a lost start",
                    {.free = room, .slowness = 1, .is_silent = true},
                    true},
                   {"no time for a lost start",
                    {.free = room, .slowness = 1.6, .is_silent = true},
                    false},
                   {"no time for a missed start",
                    {.free = room, .slowness = 1.6, .misses_starts = true},
                    true}}));
  CAPTURE(row.name);
  const StartDemand task{room, false, 2, 1.5};
  CHECK(std::isfinite(CostOfStart(task, row.minion)) == row.can_start);
}

TEST_CASE("The better of two minions has the lower cost",
          "[pool][entry][placement]") {
  // Guards against suspect tasks beside many runs, and against repeated
  // failures on the same minion.
  struct Row {
    const char* name;
    bool is_suspect;
    MinionOption better;
    MinionOption worse;
  };
  const Resources room{2'000, 64, 0};
  const auto row = GENERATE_COPY(values<Row>(
      {{"reliable, if time is short",
        false,
        {.free = room, .slowness = 1.9},
        {.free = room, .slowness = 0.8, .misses_starts = true}},
       {"faster",
        false,
        {.free = room, .used_share = 0.9, .slowness = 0.8},
        {.free = room, .slowness = 1}},
       {"less used, for a suspect",
        true,
        {.free = room, .used_share = 0.1, .slowness = 2},
        {.free = room, .used_share = 0.9, .slowness = 0.8}},
       {"no earlier failure",
        false,
        {.free = room, .slowness = 2},
        {.free = room, .slowness = 0.5, .has_failed_task = true}}}));
  CAPTURE(row.name);
  const StartDemand task{room, row.is_suspect, 10, 0.5};
  CHECK(CostOfStart(task, row.better) < CostOfStart(task, row.worse));
}

TEST_CASE("A task with little time left avoids a minion that may lose starts",
          "[pool][entry][placement]") {
  // Pattern: minions that execute starts seconds late, or whose agent has just
  // been lost. Guards against late jobs because of the time until a lost agent
  // is noticed, and against tasks that wait for ever for a better minion.
  struct Row {
    const char* name;
    bool misses_starts;
    milliseconds silence;
    bool other_is_reliable;
    std::size_t starts;
  };
  // The goal is 260 ms after the submission, the estimate 100 ms.
  const auto row = GENERATE(values<Row>({
      {"reliable", false, milliseconds{0}, true, 1},
      {"misses starts", true, milliseconds{0}, true, 1},
      {"silent", false, milliseconds{200}, true, 0},
      {"a ping late", false, milliseconds{150}, true, 1},
      {"no other", true, milliseconds{0}, false, 1},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.AddAgent(1, "other", ResourcesFor(0));
  entry.AddAgent(2, "free", ResourcesFor(1));
  LoadReport load{0, ResourcesFor(1), true, true};
  load.misses_starts = row.misses_starts;
  entry.Step({MessageReceived{{2}, load}});
  load.free = {};
  load.misses_starts = !row.other_is_reliable;
  entry.now.boot += row.silence;
  entry.Step({MessageReceived{{1}, load}});
  CHECK(SelectMessages<StartRun>(entry.Submit(1, 1)).size() == row.starts);
}

}  // namespace
}  // namespace dottereltrack::pool
