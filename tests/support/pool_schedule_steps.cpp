#include "support/pool_schedule_steps.h"

#include <iterator>

namespace dottereltrack::testing {
namespace {

const char* const kStepNames[] = {"submit",
                                  "submit_crashing",
                                  "leave_call",
                                  "kill",
                                  "power_off",
                                  "restart",
                                  "freeze",
                                  "thaw",
                                  "stop",
                                  "cut",
                                  "cut_one_way",
                                  "heal_cuts",
                                  "reset_links",
                                  "crash_minion",
                                  "recover",
                                  "recover_same",
                                  "silence_minion",
                                  "wake_minion",
                                  "failing",
                                  "slow",
                                  "drain",
                                  "lose_answers",
                                  "delay_calls",
                                  "store_down",
                                  "store_up",
                                  "change_config",
                                  "submit_reset",
                                  "submit_long",
                                  "cancel",
                                  "submit_copy",
                                  "stop_loaded",
                                  "pass_minute",
                                  "overload",
                                  "submit_losing",
                                  "submit_late_copy"};
static_assert(std::size(kStepNames) == kPoolStepKinds);

}  // namespace

void ApplyMinionStep(const PoolStep& step, FakeMinion* minion) {
  switch (step.kind) {
    case PoolStepKind::kCrashMinion:
      return minion->Crash();
    case PoolStepKind::kRecoverMinion:
    case PoolStepKind::kRecoverSameId:
      if (minion->mode() != MinionMode::kDown) return;
      return minion->Recover(step.kind == PoolStepKind::kRecoverSameId);
    case PoolStepKind::kSilenceMinion:
      return minion->SetSilent(true);
    case PoolStepKind::kWakeMinion:
      return minion->SetSilent(false);
    case PoolStepKind::kFailingMinion:
      return minion->SetFailing(step.operand_b % 2 == 0);
    case PoolStepKind::kSlowMinion:
      return minion->SetTimeRatio(step.operand_b % 2 == 0 ? 6.0 : 1.0);
    case PoolStepKind::kDrainMinion:
      return minion->SetDraining(step.operand_b % 2 == 0);
    case PoolStepKind::kLoseAnswers:
      return minion->SetLostAnswerShare(step.operand_b % 2 == 0 ? 0.2 : 0.0);
    case PoolStepKind::kDelayCalls:
      return minion->SetLateCommandShare(step.operand_b % 2 == 0 ? 0.3 : 0.0);
    default:
      return;
  }
}

std::ostream& operator<<(std::ostream& out, const PoolSchedule& schedule) {
  out << schedule.entries << " entries, " << schedule.agents << " agents, seed "
      << schedule.seed << ", turns of " << schedule.entry_turn.count()
      << " ms\n";
  for (const PoolStep& step : schedule.steps) {
    out << "  +" << step.delay.count() / 1'000 << " ms "
        << kStepNames[static_cast<int>(step.kind)] << " " << step.operand_a
        << " " << step.operand_b << "\n";
  }
  return out;
}

}  // namespace dottereltrack::testing
