#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "support/test_pool.h"

namespace dottereltrack::testing {

// Kinds of steps of a schedule: faults, recoveries and client actions.
enum class PoolStepKind {
  kSubmit,
  kSubmitCrashing,
  kLeaveCall,
  kKill,
  kPowerOff,
  kRestart,
  kFreeze,
  kThaw,
  kStop,
  kCut,
  kCutOneWay,
  kHealCuts,
  kResetLinks,
  kCrashMinion,
  kRecoverMinion,
  kRecoverSameId,
  kSilenceMinion,
  kWakeMinion,
  kFailingMinion,
  kSlowMinion,
  kDrainMinion,
  kLoseAnswers,
  kDelayCalls,
  kStoreDown,
  kStoreUp,
  kChangeConfig,
  kSubmitOverReset,
  kSubmitLong,
  kCancel,
  kSubmitCopy,
  kStopUnderLoad,
  kPassMinute,
  // The entry forwards all jobs that its peers take, or stops forwarding.
  kOverload,
  // The first answer with success is lost on its way to the client.
  kSubmitLosingAnswer,
  // A copy of such a submission arrives at any entry, seconds after that
  // answer.
  kSubmitLateCopy,
};

inline constexpr int kPoolStepKinds =
    static_cast<int>(PoolStepKind::kSubmitLateCopy) + 1;

// One step. `operand_a` and `operand_b` select processes, minions, jobs and
// sizes, modulo their number.
struct PoolStep {
  PoolStepKind kind = PoolStepKind::kSubmit;
  BootTime delay{0};
  std::uint32_t operand_a = 0;
  std::uint32_t operand_b = 0;
  friend auto operator<=>(const PoolStep&, const PoolStep&) = default;
};

// A pool and the steps that are applied to it.
struct PoolSchedule {
  int entries = 3;
  int agents = 3;
  std::uint64_t seed = 1;
  // Duration of a turn of an entry's event loop; 0 handles each event at once.
  milliseconds entry_turn{0};
  std::vector<PoolStep> steps;
  friend bool operator==(const PoolSchedule&, const PoolSchedule&) = default;
};

std::ostream& operator<<(std::ostream& out, const PoolSchedule& schedule);

// Runs the schedule, ends all faults, and checks the guarantees: no concurrent
// runs of a task, no minion over its capacity, no refused job that begins, no
// start after an acknowledged cancel,
// no task that crashes minion after minion, no return to an older
// configuration, and full service after the faults. Returns the violations;
// empty if there are none.
std::vector<std::string> RunPoolSchedule(const PoolSchedule& schedule);

}  // namespace dottereltrack::testing
