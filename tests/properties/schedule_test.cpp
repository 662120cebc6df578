#include "support/schedule.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace dottereltrack::testing {
namespace {

rc::Gen<Step> AnyStep() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, kStepKindCount + 12),
                     rc::gen::inRange(0, 400), rc::gen::inRange(0, 64),
                     rc::gen::inRange(0, 64)),
      [](const std::tuple<int, int, int, int>& it) {
        Step step;
        const int kind = std::get<0>(it);
        // The 12 extra values map to the first three kinds, so that about a
        // third of the steps submits or resubmits.
        step.kind = kind < kStepKindCount ? static_cast<StepKind>(kind)
                                          : static_cast<StepKind>(kind % 3);
        step.gap = milliseconds{std::get<1>(it)};
        step.first_choice = std::get<2>(it);
        step.second_choice = std::get<3>(it);
        return step;
      });
}

}  // namespace

// Guards against violations of the promises under random combinations
// of faults.
TEST_CASE("the promises hold under generated schedules of faults",
          "[property]") {
  rc::prop("promises", [] {
    Schedule schedule;
    schedule.entries = *rc::gen::inRange(1, 5);
    schedule.agents = *rc::gen::inRange(1, 7);
    schedule.racks = *rc::gen::inRange(1, 4);
    schedule.slots = *rc::gen::inRange(1, 4);
    schedule.timer_first = *rc::gen::arbitrary<bool>();
    schedule.seed = *rc::gen::inRange(1, 1'000'000);
    schedule.steps = *rc::gen::container<std::vector<Step>>(AnyStep());
    const std::vector<std::string> violations = RunSchedule(schedule);
    RC_LOG() << schedule << "\n";
    for (const std::string& it : violations) RC_LOG() << it << "\n";
    RC_ASSERT(violations.empty());
  });
}

}  // namespace dottereltrack::testing
