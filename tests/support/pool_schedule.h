#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "support/test_pool.h"

namespace dottereltrack::testing {

// What one step of a schedule of faults does to a pool.
enum class PoolStepKind {
  kSubmit,
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
  kOrdersLate,
  kStoreDown,
  kStoreUp,
  kChangeConfig,
};

inline constexpr int kPoolStepKinds =
    static_cast<int>(PoolStepKind::kChangeConfig) + 1;

// One step; `a` and `b` choose processes and sizes, modulo what there is.
struct PoolStep {
  PoolStepKind kind = PoolStepKind::kSubmit;
  BootTime gap{0};
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  friend auto operator<=>(const PoolStep&, const PoolStep&) = default;
};

// A pool and what happens to it.
struct PoolSchedule {
  int entries = 3;
  int agents = 3;
  std::uint64_t seed = 1;
  std::vector<PoolStep> steps;
  friend bool operator==(const PoolSchedule&, const PoolSchedule&) = default;
};

std::ostream& operator<<(std::ostream& out, const PoolSchedule& schedule);

// Runs the schedule, ends all faults, and checks the promises: no two runs of a
// task at once, no minion over its capacity, no refused job that has begun, no
// configuration that goes back, and service again after the faults. Returns
// what was violated; empty if all held.
std::vector<std::string> RunPoolSchedule(const PoolSchedule& schedule);

}  // namespace dottereltrack::testing
