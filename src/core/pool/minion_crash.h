#pragma once

#include <compare>
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

// An unannounced end of a minion's process. Each of the tasks that had a run on
// it may be the cause.
struct MinionCrash {
  MinionInstance minion;
  // Without duplicates, in ascending order.
  std::vector<TaskKey> tasks;
  BootTime crashed_at{0};

  const MinionInstance& Key() const { return minion; }
  friend bool operator==(const MinionCrash&, const MinionCrash&) = default;
};

// A crash as the processes of a pool report it to each other.
struct CrashReport {
  MinionInstance minion;
  std::vector<TaskKey> tasks;
  // Time since the crash. Clocks of different processes cannot be compared.
  milliseconds age{0};
  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

CrashReport MakeCrashReport(const MinionCrash& crash, const Now& now);
std::vector<CrashReport> MakeCrashReports(const Table<MinionCrash>& crashes,
                                          const Now& now);

// Returns the crash that a report describes, together with the tasks that are
// already known of it; `known` may be null.
MinionCrash MergeCrashReport(const MinionCrash* known,
                             const CrashReport& report, const Now& now);

// Returns the crashes that are older than the retention period.
std::vector<MinionInstance> FindOldCrashes(const Table<MinionCrash>& crashes,
                                           milliseconds retention,
                                           const Now& now);

}  // namespace dottereltrack::pool
