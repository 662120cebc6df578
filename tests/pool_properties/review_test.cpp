#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "support/pool_schedule.h"

namespace dottereltrack::testing {
namespace {

using Kind = PoolStepKind;

// Steps of the given kinds, each as likely as the others.
rc::Gen<PoolStep> StepOf(const std::vector<Kind>& kinds, int max_delay_ms) {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::elementOf(kinds),
                     rc::gen::inRange(0, max_delay_ms), rc::gen::inRange(0, 64),
                     rc::gen::inRange(0, 64)),
      [](const std::tuple<Kind, int, int, int>& it) {
        PoolStep step;
        step.kind = std::get<0>(it);
        step.delay = milliseconds{std::get<1>(it)};
        step.operand_a = std::get<2>(it);
        step.operand_b = std::get<3>(it);
        return step;
      });
}

// Schedules of one fault and what it needs, so that a few hundred of them meet
// it.
void CheckSchedules(const std::string& name, const std::vector<Kind>& kinds,
                    int max_delay_ms, int max_steps,
                    const std::vector<int>& turns_ms = {0, 20}) {
  rc::prop(name, [&] {
    PoolSchedule schedule;
    schedule.entries = *rc::gen::inRange(2, 4);
    schedule.agents = *rc::gen::inRange(1, 4);
    schedule.seed = *rc::gen::inRange(1, 1'000'000);
    schedule.entry_turn = milliseconds{*rc::gen::elementOf(turns_ms)};
    const int count = *rc::gen::inRange(1, max_steps + 1);
    schedule.steps = *rc::gen::container<std::vector<PoolStep>>(
        count, StepOf(kinds, max_delay_ms));
    const std::vector<std::string> violations = RunPoolSchedule(schedule);
    RC_LOG() << schedule << "\n";
    for (const std::string& it : violations) RC_LOG() << it << "\n";
    RC_ASSERT(violations.empty());
  });
}

}  // namespace

// Guards against the starts of an entry that reads a job from a connection that
// has been reset (review/8).
TEST_CASE("no task runs twice when connections are reset",
          "[property][pool][review]") {
  CheckSchedules("resets of clients' connections",
                 {Kind::kSubmit, Kind::kSubmitOverReset, Kind::kSubmitOverReset,
                  Kind::kLeaveCall, Kind::kResetLinks},
                 200, 20);
}

// Guards against a count of crashes that starts anew while the client goes on
// (review/6).
TEST_CASE("a task that crashes minions is not started again minutes later",
          "[property][pool][review]") {
  CheckSchedules("minutes with clients that go on",
                 {Kind::kSubmitCrashing, Kind::kSubmitCopy, Kind::kSubmitCopy,
                  Kind::kPassMinute},
                 3'000, 14);
}

// Guards against late copies that run cancelled jobs (review/4).
TEST_CASE("a late copy of a submission does not run a cancelled job",
          "[property][pool][review]") {
  CheckSchedules(
      "cancels and late copies",
      {Kind::kSubmitLong, Kind::kCancel, Kind::kSubmitCopy, Kind::kSubmitCopy},
      4'000, 12);
}

// Guards against acknowledged cancels of jobs that go on (review/7).
TEST_CASE("no task starts after an acknowledged cancel",
          "[property][pool][review]") {
  CheckSchedules("cancels at other entries",
                 {Kind::kSubmitLong, Kind::kSubmit, Kind::kCancel,
                  Kind::kCancel, Kind::kLeaveCall, Kind::kCut, Kind::kHealCuts,
                  Kind::kResetLinks, Kind::kFreeze, Kind::kThaw},
                 1'500, 20);
}

// Guards against an entry that starts jobs which it refuses as it ends
// (review/5).
TEST_CASE("an entry that ends under load starts no refused job",
          "[property][pool][review]") {
  CheckSchedules("stops under load",
                 {Kind::kStopUnderLoad, Kind::kSubmit, Kind::kResetLinks},
                 4'000, 4, {20});
}

// Guards against a copy that runs at one entry while the client's next attempt
// is at work at another one (review/11), also beside faults of the entries.
TEST_CASE("a late copy does not run beside a later attempt",
          "[property][pool][review]") {
  const auto faults = GENERATE(values<std::vector<Kind>>({
      {},
      {Kind::kKill, Kind::kRestart},
      {Kind::kStop, Kind::kRestart, Kind::kOverload},
      {Kind::kFreeze, Kind::kThaw},
      {Kind::kResetLinks, Kind::kLeaveCall, Kind::kOverload},
  }));
  std::vector<Kind> kinds = {Kind::kSubmitLosingAnswer, Kind::kSubmitLateCopy,
                             Kind::kSubmitLateCopy, Kind::kSubmitLateCopy};
  kinds.insert(kinds.end(), faults.begin(), faults.end());
  CheckSchedules("lost answers and late copies", kinds, 1'000, 30);
}

}  // namespace dottereltrack::testing
