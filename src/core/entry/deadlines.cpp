#include "core/entry/deadlines.h"

#include <vector>

#include "core/entry/agent_messages.h"
#include "core/entry/outcomes.h"
#include "core/entry/placement.h"

namespace dottereltrack {
namespace {

void AddDeadlineDecisions(const EntryBoard& board, const Job& job,
                          std::vector<TaskDecision>* decisions) {
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    const Task& task = *board.tasks.Find({job.id, n});
    if (const auto proof = ProveNeverSent(task)) {
      decisions->push_back({task.id, NotRun{"deadline_passed", *proof}});
    } else if (task.state == TaskState::kSent) {
      decisions->push_back(
          {task.id, Unknown{"it still ran when the deadline passed"}});
    } else if (task.state == TaskState::kUnresolved) {
      decisions->push_back(
          {task.id, Unknown{"the deadline passed before the ledgers of the "
                            "earlier dispatcher were read"}});
    }
  }
}

bool HasEligibleMinion(const EntryBoard& board, const WorkClass& work_class) {
  for (const auto& [id, agent] : board.agents) {
    if (!CanTakeWork(board, agent)) continue;
    if (CanEverFit(agent.minion, work_class.needs) &&
        Matches(work_class.selector, board.stored_config.config,
                agent.minion)) {
      return true;
    }
  }
  return false;
}

// Ending one task of a job suffices: the job then fails, and FinishTasks ends
// its other queued tasks.
void AddUnplaceableDecisions(const EntryBoard& board, const ClassQueue& queue,
                             const Now& now,
                             std::vector<TaskDecision>* decisions) {
  for (const auto& [id, queued] : queue.jobs) {
    const Job& job = *board.jobs.Find(id);
    if (job.accepted_at + board.settings.no_minion_grace > now.boot) continue;
    const Task& task = *board.tasks.Find({id, queued.tasks.begin()->index});
    const auto proof = ProveNeverSent(task);
    if (!proof) continue;
    decisions->push_back({task.id, NotRun{"no_eligible_minion", *proof}});
  }
}

template <typename Row>
void EraseRowsOlderThan(const Table<Row>& table, BootTime cutoff,
                        BootTime Row::*time, EntryChanges* changes) {
  for (const auto& [key, row] : table) {
    if (row.*time < cutoff) changes->Add(Erase<Row>{key});
  }
}

}  // namespace

EntryChanges EndTasksPastDeadline(const EntryBoard& board, const Now& now) {
  std::vector<TaskDecision> decisions;
  for (const auto& [deadline, id] : board.open_jobs_by_deadline) {
    if (deadline > now.boot) break;
    const Job& job = *board.jobs.Find(id);
    if (job.final_tasks == job.task_count) continue;
    AddDeadlineDecisions(board, job, &decisions);
  }
  return FinishTasks(board, decisions);
}

EntryChanges EndUnplaceableJobs(const EntryBoard& board, const Now& now) {
  std::vector<TaskDecision> decisions;
  if (!board.authority.inventory_settled) return {};
  for (const auto& [name, team] : board.queue_by_team) {
    for (const auto& [work_class, queue] : team.classes) {
      if (HasEligibleMinion(board, work_class)) continue;
      AddUnplaceableDecisions(board, queue, now, &decisions);
    }
  }
  return FinishTasks(board, decisions);
}

EntryChanges DropExpiredRecords(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const BootTime cutoff = now.boot - board.settings.retention;
  for (const auto& [finished_at, id] : board.ended_jobs_by_finish_time) {
    if (finished_at >= cutoff) break;
    const std::uint32_t n = board.jobs.Find(id)->task_count;
    for (std::uint32_t i = 0; i < n; ++i) changes.Add(Erase<Task>{{id, i}});
    changes.Add(Erase<Job>{id});
  }
  EraseRowsOlderThan(board.closed_submissions, cutoff,
                     &ClosedSubmission::closed_at, &changes);
  EraseRowsOlderThan(board.recovered_tasks, cutoff, &RecoveredTask::seen_at,
                     &changes);
  EraseRowsOlderThan(board.witnesses, cutoff, &WitnessRecord::seen_at,
                     &changes);
  EraseRowsOlderThan(board.minion_speeds, cutoff, &MinionSpeed::updated_at,
                     &changes);
  EraseRowsOlderThan(board.minion_health, cutoff, &MinionHealth::updated_at,
                     &changes);
  return changes;
}

}  // namespace dottereltrack
