#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/pool/task.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Identifies one run of a minion's process. A restarted minion may keep its id.
struct MinionInstance {
  std::string id;
  // Unix time of the start in milliseconds.
  std::uint64_t started_ms = 0;
  friend auto operator<=>(const MinionInstance&,
                          const MinionInstance&) = default;
};

// Tasks that may have caused a crash, each list in ascending order.
struct CrashSuspects {
  // Had a run on a minion that has certainly crashed.
  std::vector<TaskKey> certain;
  // The run may not have begun, or the minion may only have been unreachable.
  std::vector<TaskKey> possible;
  friend bool operator==(const CrashSuspects&, const CrashSuspects&) = default;
};

// An unannounced end of a minion's process, or a loss that may have been one.
struct MinionCrash {
  MinionInstance minion;
  CrashSuspects suspects;
  BootTime crashed_at{0};

  const MinionInstance& Key() const { return minion; }
  friend bool operator==(const MinionCrash&, const MinionCrash&) = default;
};

// A crash as the processes of a pool report it to each other.
struct CrashReport {
  MinionInstance minion;
  CrashSuspects suspects;
  // Time since the crash. Clocks of different processes cannot be compared.
  milliseconds age{0};
  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

CrashReport MakeCrashReport(const MinionCrash& crash, const Now& now);
std::vector<CrashReport> MakeCrashReports(const Table<MinionCrash>& crashes,
                                          const Now& now);

// Returns the crash that a report describes, together with the suspects that
// are already known of it; `known` may be null.
MinionCrash MergeCrashReport(const MinionCrash* known,
                             const CrashReport& report, const Now& now);

// Number of crashes that a process remembers. A task that crashes its minions
// is not started after its fourth crash, so these are at least 128 such tasks.
// An entry needs up to 3 KB for a crash of a minion with 36 runs.
inline constexpr std::size_t kMaxCrashes = 512;

// Returns the crashes to forget so that at most `max_crashes` are left. Time
// does not matter, since a client may submit its job again for as long as it
// likes. Crashes of tasks with few crashes go first, then the oldest, so that
// bystanders are forgotten before tasks that crash minion after minion.
std::vector<MinionInstance> FindExcessCrashes(const Table<MinionCrash>& crashes,
                                              std::size_t max_crashes);

}  // namespace dottereltrack::pool
