#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "support/test_cell.h"

namespace dottereltrack::testing {

// What one step of a schedule does. The faults end with the schedule.
enum class StepKind {
  kSubmitTimed,
  kSubmitOpaque,
  kResubmit,
  kReuseKey,
  kCancel,
  kFetch,
  kKillEntry,
  kKillAgent,
  kRestartEntry,
  kRestartAgent,
  kFreezeEntry,
  kFreezeAgent,
  kThaw,
  kCutLinks,
  kCutPeers,
  kBlockLinks,
  kBlockPeers,
  kUnblock,
  kStallLinks,
  kStallPeers,
  kStoreMode,
  kStoreUp,
  kStopEntry,
  kStopAgent,
  kReplaceMinion,
  kLeaveMinion,
  kFailingMinion,
  kDrainMinion,
  kChangeConfig,
  kCrashDispatcher,
};

inline constexpr int kStepKinds =
    static_cast<int>(StepKind::kCrashDispatcher) + 1;

// One step; `a` and `b` choose processes and sizes, modulo what there is.
struct Step {
  StepKind kind = StepKind::kSubmitTimed;
  BootTime gap{0};
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  friend auto operator<=>(const Step&, const Step&) = default;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

// A cell and what happens to it.
struct Schedule {
  int entries = 2;
  int agents = 3;
  int racks = 3;
  std::uint32_t slots = 2;
  bool timer_first = false;
  std::uint64_t seed = 1;
  std::vector<Step> steps;
  friend bool operator==(const Schedule&, const Schedule&) = default;
};

std::ostream& operator<<(std::ostream& out, const Schedule& schedule);

// Runs the schedule, ends all faults, lets the cell recover and checks the
// promises. Returns what was violated, in plain text; empty if all held.
std::vector<std::string> RunSchedule(const Schedule& schedule);

}  // namespace dottereltrack::testing
