#include "core/pool/entry/waiting_order.h"

#include <catch2/catch.hpp>

namespace dottereltrack::pool {
namespace {

TEST_CASE("Waiting tasks are placed in the order of their use",
          "[pool][entry][placement]") {
  // Guards against an overload in which many jobs are begun and few end in
  // time, in which late jobs take the room of others, and in which a job with
  // much work is late together with the many that wait behind it.
  struct Row {
    const char* name;
    StartUrgency first;
    StartUrgency second;
  };
  const BootTime soon{1'000};
  const BootTime later{2'000};
  const auto row = GENERATE_COPY(values<Row>(
      {{"no suspect before a late task",
        {.is_late = true, .latest_start = later},
        {.is_suspect = true, .latest_start = soon}},
       {"in time before late",
        {.latest_start = later},
        {.is_late = true, .job_has_started = true, .latest_start = soon}},
       {"started before new",
        {.job_has_started = true, .latest_start = later},
        {.latest_start = soon}},
       {"earlier latest start",
        {.latest_start = soon, .remaining_work = 9},
        {.latest_start = later, .remaining_work = 1}},
       {"late with less work",
        {.is_late = true, .latest_start = later, .remaining_work = 1},
        {.is_late = true,
         .job_has_started = true,
         .latest_start = soon,
         .remaining_work = 9}},
       {"same job",
        {.latest_start = soon, .key = {1, 0, 0}},
        {.latest_start = soon, .key = {1, 0, 1}}}}));
  CAPTURE(row.name);
  CHECK(IsPlacedBefore(row.first, row.second));
  CHECK_FALSE(IsPlacedBefore(row.second, row.first));
}

}  // namespace
}  // namespace dottereltrack::pool
