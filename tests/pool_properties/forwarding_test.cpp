#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "support/pool_schedule.h"

namespace dottereltrack::testing {
namespace {

// Steps that concern forwarded jobs: submissions, callers that leave, and
// faults of entries and of links.
constexpr PoolStepKind kKinds[] = {
    PoolStepKind::kSubmit,     PoolStepKind::kSubmit,
    PoolStepKind::kSubmit,     PoolStepKind::kLeaveCall,
    PoolStepKind::kKill,       PoolStepKind::kPowerOff,
    PoolStepKind::kRestart,    PoolStepKind::kFreeze,
    PoolStepKind::kThaw,       PoolStepKind::kStop,
    PoolStepKind::kCut,        PoolStepKind::kCutOneWay,
    PoolStepKind::kHealCuts,   PoolStepKind::kResetLinks,
    PoolStepKind::kOverload,   PoolStepKind::kChangeConfig,
    PoolStepKind::kLoseAnswers};

rc::Gen<PoolStep> ForwardingStep() {
  return rc::gen::map(
      rc::gen::tuple(
          rc::gen::inRange<int>(0, static_cast<int>(std::size(kKinds))),
          rc::gen::inRange(0, 150), rc::gen::inRange(0, 64),
          rc::gen::inRange(0, 64)),
      [](const std::tuple<int, int, int, int>& it) {
        PoolStep step;
        step.kind = kKinds[std::get<0>(it)];
        step.delay = milliseconds{std::get<1>(it)};
        step.operand_a = std::get<2>(it);
        step.operand_b = std::get<3>(it);
        return step;
      });
}

}  // namespace

// Guards against concurrent runs of a task at the owner and elsewhere, refused
// jobs that have begun, and jobs that wait for an owner for ever.
TEST_CASE("the guarantees of a pool hold while entries forward jobs",
          "[property][pool]") {
  rc::prop("guarantees of forwarding entries", [] {
    PoolSchedule schedule;
    schedule.entries = *rc::gen::inRange(2, 4);
    schedule.agents = *rc::gen::inRange(1, 4);
    schedule.seed = *rc::gen::inRange(1, 1'000'000);
    // The first entry is overloaded from the start.
    schedule.steps = {{PoolStepKind::kOverload, seconds{1}, 0, 1}};
    const auto steps =
        *rc::gen::container<std::vector<PoolStep>>(ForwardingStep());
    schedule.steps.insert(schedule.steps.end(), steps.begin(), steps.end());
    const std::vector<std::string> violations = RunPoolSchedule(schedule);
    RC_LOG() << schedule << "\n";
    for (const std::string& it : violations) RC_LOG() << it << "\n";
    RC_ASSERT(violations.empty());
  });
}

}  // namespace dottereltrack::testing
