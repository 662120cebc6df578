#include "runtime/busy_meter.h"

#include <catch2/catch.hpp>

namespace dottereltrack {
namespace {

using std::chrono::milliseconds;

TEST_CASE("The busy share follows the time between begin and end",
          "[runtime][overload]") {
  // Guards against a share that counts waiting time, and against one that
  // follows single turns.
  struct Row {
    const char* name;
    int busy_ms;
    int idle_ms;
    int periods;
    double lowest;
    double highest;
  };
  const auto row = GENERATE(values<Row>(
      {{"idle", 0, 25, 200, 0, 0},
       {"always busy", 25, 0, 200, 0.99, 1},
       {"half of the time", 5, 5, 500, 0.49, 0.51},
       {"throttled for 88 of 100 ms in a turn", 100, 0, 50, 0.99, 1},
       {"one turn of 100 ms", 100, 1, 1, 0.05, 0.11},
       {"a second after an idle time", 25, 0, 40, 0.6, 0.66}}));
  CAPTURE(row.name);
  auto now = BusyMeter::TimePoint{std::chrono::seconds{5}};
  BusyMeter meter(now);
  for (int n = 0; n < row.periods; ++n) {
    if (row.busy_ms > 0) meter.Begin(now);
    // A handler of the same turn.
    if (row.busy_ms > 0) meter.Begin(now + milliseconds{1});
    now += milliseconds{row.busy_ms};
    meter.End(now);
    now += milliseconds{row.idle_ms};
  }
  CHECK(meter.BusyShare(now) >= row.lowest);
  CHECK(meter.BusyShare(now) <= row.highest);
}

TEST_CASE("The share is up to date within a turn", "[runtime][overload]") {
  // Guards against a loop that looks idle until a long turn ends.
  const BusyMeter::TimePoint begin{std::chrono::seconds{5}};
  BusyMeter meter(begin);
  meter.Begin(begin);
  CHECK(meter.BusyShare(begin + milliseconds{1'000}) ==
        Approx(0.632).epsilon(0.01));
}

TEST_CASE("The lateness of the timer is an average", "[runtime][overload]") {
  // Guards against a single late tick that counts as overload.
  BusyMeter meter(BusyMeter::TimePoint{});
  meter.RecordTick(milliseconds{200});
  CHECK(meter.TickLateness() == milliseconds{10});
  for (int n = 0; n < 200; ++n) meter.RecordTick(milliseconds{80});
  CHECK(meter.TickLateness() == milliseconds{80});
  for (int n = 0; n < 200; ++n) meter.RecordTick(milliseconds{-1});
  CHECK(meter.TickLateness() == milliseconds{0});
}

}  // namespace
}  // namespace dottereltrack
