#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "support/pool_schedule.h"

namespace dottereltrack::testing {
namespace {

rc::Gen<PoolStep> AnyStep() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 2 * kPoolStepKinds),
                     rc::gen::inRange(0, 400), rc::gen::inRange(0, 64),
                     rc::gen::inRange(0, 64)),
      [](const std::tuple<int, int, int, int>& it) {
        PoolStep step;
        const int kind = std::get<0>(it);
        // Half of the steps submit a job.
        step.kind = kind < kPoolStepKinds ? static_cast<PoolStepKind>(kind)
                                          : PoolStepKind::kSubmit;
        step.delay = milliseconds{std::get<1>(it)};
        step.operand_a = std::get<2>(it);
        step.operand_b = std::get<3>(it);
        return step;
      });
}

}  // namespace

// Guards against concurrent runs of a task, minions over their capacity,
// refused jobs that have begun, and capacity that is lost after a combination
// of faults.
TEST_CASE("the guarantees of a pool hold under generated schedules of faults",
          "[property][pool]") {
  rc::prop("guarantees of a pool", [] {
    PoolSchedule schedule;
    schedule.entries = *rc::gen::inRange(1, 4);
    schedule.agents = *rc::gen::inRange(1, 4);
    schedule.seed = *rc::gen::inRange(1, 1'000'000);
    schedule.steps = *rc::gen::container<std::vector<PoolStep>>(AnyStep());
    const std::vector<std::string> violations = RunPoolSchedule(schedule);
    RC_LOG() << schedule << "\n";
    for (const std::string& it : violations) RC_LOG() << it << "\n";
    RC_ASSERT(violations.empty());
  });
}

}  // namespace dottereltrack::testing
