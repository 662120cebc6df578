#include "core/pool/minion_crash.h"

#include <algorithm>
#include <set>

namespace dottereltrack::pool {
namespace {

// Returns the tasks of both lists in ascending order, without duplicates.
std::vector<TaskKey> Union(const std::vector<TaskKey>& a,
                           const std::vector<TaskKey>& b) {
  std::set<TaskKey> tasks(a.begin(), a.end());
  tasks.insert(b.begin(), b.end());
  return {tasks.begin(), tasks.end()};
}

}  // namespace

CrashReport MakeCrashReport(const MinionCrash& crash, const Now& now) {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now.boot - crash.crashed_at);
  return {crash.minion, crash.suspects, age};
}

std::vector<CrashReport> MakeCrashReports(const Table<MinionCrash>& crashes,
                                          const Now& now) {
  std::vector<CrashReport> reports;
  reports.reserve(crashes.size());
  for (const auto& [minion, crash] : crashes) {
    reports.push_back(MakeCrashReport(crash, now));
  }
  return reports;
}

std::vector<MinionInstance> FindOldCrashes(const Table<MinionCrash>& crashes,
                                           milliseconds retention,
                                           const Now& now) {
  std::vector<MinionInstance> old;
  for (const auto& [minion, crash] : crashes) {
    if (now.boot - crash.crashed_at >= retention) old.push_back(minion);
  }
  return old;
}

MinionCrash MergeCrashReport(const MinionCrash* known,
                             const CrashReport& report, const Now& now) {
  const milliseconds age = std::max(report.age, milliseconds{0});
  MinionCrash crash{report.minion, {}, now.boot - age};
  CrashSuspects before;
  if (known != nullptr) {
    crash.crashed_at = known->crashed_at;
    before = known->suspects;
  }
  crash.suspects.certain = Union(before.certain, report.suspects.certain);
  for (const TaskKey& task : Union(before.possible, report.suspects.possible)) {
    const auto& certain = crash.suspects.certain;
    if (std::binary_search(certain.begin(), certain.end(), task)) continue;
    crash.suspects.possible.push_back(task);
  }
  return crash;
}

}  // namespace dottereltrack::pool
