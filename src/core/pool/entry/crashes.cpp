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

// Whether a report is older than all crashes of a full table. Such reports
// would circulate among entries that have forgotten different crashes.
bool WouldBeForgotten(const EntryBoard& board, const MinionCrash& crash) {
  const auto& crashes = board.crashes;
  return crashes.size() >= board.settings.max_crashes &&
         std::all_of(crashes.begin(), crashes.end(), [&](const auto& it) {
           return crash.crashed_at < it.second.crashed_at;
         });
}

}  // namespace

CrashCount CountCrashes(const EntryBoard& board, const TaskKey& task) {
  const auto it = board.crash_counts.find(task);
  return it == board.crash_counts.end() ? CrashCount{} : it->second;
}

bool IsSuspect(const EntryBoard& board, const TaskKey& task) {
  return CountCrashes(board, task).Total() > 0;
}

bool IsCrashingJob(const EntryBoard& board, std::uint64_t job) {
  const auto begin = board.crash_counts.lower_bound(FirstTaskOf(job));
  const auto end = board.crash_counts.upper_bound(LastTaskOf(job));
  return std::any_of(begin, end, [&](const auto& it) {
    return it.second.certain >= board.settings.max_crashes_of_a_task;
  });
}

EntryChanges HandleCrashReports(const EntryBoard& board,
                                const std::vector<CrashReport>& reports,
                                const Now& now) {
  EntryChanges changes;
  std::vector<CrashReport> news;
  for (const CrashReport& report : reports) {
    const MinionCrash* known = board.crashes.Find(report.minion);
    const MinionCrash crash = MergeCrashReport(known, report, now);
    if (known != nullptr && *known == crash) continue;
    if (known == nullptr && WouldBeForgotten(board, crash)) continue;
    news.push_back(report);
    changes.Add(Decision{
        Severity::kStateChange,
        "crash_recorded",
        0,
        {{"minion", report.minion.id}},
        {{"started_ms", static_cast<std::int64_t>(report.minion.started_ms)},
         {"tasks", static_cast<std::int64_t>(crash.suspects.certain.size() +
                                             crash.suspects.possible.size())},
         {"age_ms", report.age.count()}}});
    changes.Add(Put<MinionCrash>{crash});
  }
  if (!news.empty()) PassOn(board, news, &changes);
  return changes;
}

EntryChanges EndCrashingJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.crash_counts.empty()) return changes;
  const EntrySettings& settings = board.settings;
  std::set<std::uint64_t> ended;
  for (const TaskKey& key : board.waiting_tasks) {
    const CrashCount crashes = CountCrashes(board, key);
    const bool has_failed = crashes.certain >= settings.max_crashes_of_a_task;
    if (!has_failed &&
        crashes.Total() < settings.max_possible_crashes_of_a_task) {
      continue;
    }
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (!ended.insert(key.job).second) continue;
    if (has_failed) {
      changes.Append(FailJob(board, *job,
                             std::to_string(crashes.certain) +
                                 " minions have crashed under a task",
                             now));
    } else {
      changes.Append(AbandonJob(board, *job, ReplyKind::kGivenUp,
                                std::to_string(crashes.Total()) +
                                    " minions may have crashed under a task",
                                now));
    }
  }
  return changes;
}

EntryChanges ForgetExcessCrashes(const EntryBoard& board) {
  EntryChanges changes;
  for (const MinionInstance& minion :
       FindExcessCrashes(board.crashes, board.settings.max_crashes)) {
    changes.Add(Erase<MinionCrash>{minion});
  }
  return changes;
}

}  // namespace dottereltrack::pool
