#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "support/test_cell.h"

namespace dottereltrack::testing {

// Action of one step of a schedule. Faults last until a later step or the end
// of the schedule removes them.
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
  kUnfreezeAll,
  kCutLinks,
  kCutPeers,
  kBlockLinks,
  kBlockPeers,
  kUnblockAll,
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

inline constexpr int kStepKindCount =
    static_cast<int>(StepKind::kCrashDispatcher) + 1;

// One step, taken `gap` after the one before. `first_choice` and
// `second_choice` select processes, sizes and the like, modulo the number
// available.
struct Step {
  StepKind kind = StepKind::kSubmitTimed;
  BootTime gap{0};
  std::uint32_t first_choice = 0;
  std::uint32_t second_choice = 0;
  friend auto operator<=>(const Step&, const Step&) = default;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

// The configuration of a cell and the steps that are applied to it.
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

// Runs the schedule, removes all faults, lets the cell recover and checks the
// promises. Returns a description of each violation; empty if there is none.
std::vector<std::string> RunSchedule(const Schedule& schedule);

}  // namespace dottereltrack::testing
