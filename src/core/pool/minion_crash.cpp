#include "core/pool/minion_crash.h"

#include <algorithm>

namespace dottereltrack::pool {

CrashReport MakeCrashReport(const MinionCrash& crash, const Now& now) {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now.boot - crash.crashed_at);
  return {crash.minion, crash.tasks, age};
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
  MinionCrash crash{report.minion, report.tasks, now.boot - age};
  if (known != nullptr) {
    crash.crashed_at = known->crashed_at;
    crash.tasks.insert(crash.tasks.end(), known->tasks.begin(),
                       known->tasks.end());
  }
  std::sort(crash.tasks.begin(), crash.tasks.end());
  crash.tasks.erase(std::unique(crash.tasks.begin(), crash.tasks.end()),
                    crash.tasks.end());
  return crash;
}

}  // namespace dottereltrack::pool
