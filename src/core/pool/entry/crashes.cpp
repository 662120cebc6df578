#include "core/pool/entry/crashes.h"

#include <algorithm>
#include <set>
#include <string>

#include "core/pool/entry/outcomes.h"

namespace dottereltrack::pool {
namespace {

void PassOn(const EntryBoard& board, const std::vector<CrashReport>& reports,
            EntryChanges* changes) {
  for (const auto& [id, link] : board.links) {
    // Entries dial each other, so a report reaches each of them over the links
    // that this entry has dialed.
    if (!link.dialed_address) continue;
    changes->Add(SendMessage{id, EntryHello{board.settings.id, {}, reports}});
  }
}

}  // namespace

int CountCrashes(const EntryBoard& board, const TaskKey& task) {
  const auto it = board.crash_counts.find(task);
  return it == board.crash_counts.end() ? 0 : it->second;
}

bool IsCrashingJob(const EntryBoard& board, std::uint64_t job) {
  const auto begin = board.crash_counts.lower_bound({job, 0, 0});
  const auto end = board.crash_counts.lower_bound({job + 1, 0, 0});
  return std::any_of(begin, end, [&](const auto& it) {
    return it.second >= board.settings.max_crashes_of_a_task;
  });
}

EntryChanges HandleCrashReports(const EntryBoard& board,
                                const std::vector<CrashReport>& reports,
                                const Now& now) {
  EntryChanges changes;
  std::vector<CrashReport> news;
  for (const CrashReport& report : reports) {
    if (report.age >= board.settings.crash_retention) continue;
    const MinionCrash* known = board.crashes.Find(report.minion);
    const MinionCrash crash = MergeCrashReport(known, report, now);
    if (known != nullptr && *known == crash) continue;
    news.push_back(report);
    changes.Add(Decision{
        Severity::kStateChange,
        "crash_recorded",
        0,
        {{"minion", report.minion.id}},
        {{"started_ms", static_cast<std::int64_t>(report.minion.started_ms)},
         {"tasks", static_cast<std::int64_t>(crash.tasks.size())},
         {"age_ms", report.age.count()}}});
    changes.Add(Put<MinionCrash>{crash});
  }
  if (!news.empty()) PassOn(board, news, &changes);
  return changes;
}

EntryChanges FailCrashingJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.crash_counts.empty()) return changes;
  std::set<std::uint64_t> failed;
  for (const TaskKey& key : board.waiting_tasks) {
    const int crashes = CountCrashes(board, key);
    if (crashes < board.settings.max_crashes_of_a_task) continue;
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (!failed.insert(key.job).second) continue;
    changes.Append(FailJob(
        board, *job,
        std::to_string(crashes) + " minions have crashed under a task", now));
  }
  return changes;
}

EntryChanges ForgetOldCrashes(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const MinionInstance& minion :
       FindOldCrashes(board.crashes, board.settings.crash_retention, now)) {
    changes.Add(Erase<MinionCrash>{minion});
  }
  return changes;
}

}  // namespace dottereltrack::pool
