#include "core/pool/minion_crash.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace dottereltrack::pool {
namespace {

// An older report comes from a faulty sender; the bound keeps sums of times
// within 64 bits.
constexpr milliseconds kMaxReportedAge{365LL * 86'400'000};

// Returns the tasks of both lists in ascending order, without duplicates.
std::vector<TaskKey> Union(const std::vector<TaskKey>& a,
                           const std::vector<TaskKey>& b) {
  std::set<TaskKey> tasks(a.begin(), a.end());
  tasks.insert(b.begin(), b.end());
  return {tasks.begin(), tasks.end()};
}

std::map<TaskKey, int> CountByTask(const Table<MinionCrash>& crashes) {
  std::map<TaskKey, int> counts;
  for (const auto& [minion, crash] : crashes) {
    for (const TaskKey& task : crash.suspects.certain) ++counts[task];
    for (const TaskKey& task : crash.suspects.possible) ++counts[task];
  }
  return counts;
}

// Returns the largest number of crashes of a task that was on the minion.
int MaxCount(const MinionCrash& crash, const std::map<TaskKey, int>& counts) {
  int count = 0;
  for (const TaskKey& task : crash.suspects.certain) {
    count = std::max(count, counts.at(task));
  }
  for (const TaskKey& task : crash.suspects.possible) {
    count = std::max(count, counts.at(task));
  }
  return count;
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

std::vector<MinionInstance> FindExcessCrashes(const Table<MinionCrash>& crashes,
                                              std::size_t max_crashes) {
  if (crashes.size() <= max_crashes) return {};
  const std::map<TaskKey, int> counts = CountByTask(crashes);
  std::vector<std::tuple<int, BootTime, MinionInstance>> ranked;
  ranked.reserve(crashes.size());
  for (const auto& [minion, crash] : crashes) {
    ranked.emplace_back(MaxCount(crash, counts), crash.crashed_at, minion);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(crashes.size() - max_crashes);
  std::vector<MinionInstance> excess;
  excess.reserve(ranked.size());
  for (auto& it : ranked) excess.push_back(std::move(std::get<2>(it)));
  return excess;
}

MinionCrash MergeCrashReport(const MinionCrash* known,
                             const CrashReport& report, const Now& now) {
  const milliseconds age =
      std::clamp(report.age, milliseconds{0}, kMaxReportedAge);
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
