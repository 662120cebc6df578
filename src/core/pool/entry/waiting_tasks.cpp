#include "core/pool/entry/waiting_tasks.h"

#include <algorithm>
#include <utility>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/crashes.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

StartUrgency MakeUrgency(const EntryBoard& board, const TaskRow& task,
                         const JobRow& job, const Now& now) {
  StartUrgency urgency;
  urgency.is_suspect = IsSuspect(board, task.key);
  urgency.latest_start = job.goal_at - task.estimate;
  urgency.is_late = urgency.latest_start < now.boot;
  urgency.job_has_started = job.may_have_started;
  urgency.remaining_work = static_cast<double>(job.open_tasks) * WorkOf(task);
  urgency.key = task.key;
  return urgency;
}

}  // namespace

std::vector<WaitingTasks> CollectWaitingTasks(const EntryBoard& board,
                                              const Now& now) {
  std::vector<WaitingTasks> waiting;
  for (const TaskKey& key : board.waiting_tasks) {
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    const TaskRow& task = *board.tasks.Find(key);
    waiting.push_back(
        {task, 1, false, job, MakeUrgency(board, task, *job, now)});
  }
  for (const auto& [first, tasks] : board.unstarted_tasks) {
    const JobRow* job = board.jobs.Find(first.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (!MayStart(tasks, now)) continue;
    TaskRow task = MakeTaskRow(tasks, 0);
    StartUrgency urgency = MakeUrgency(board, task, *job, now);
    waiting.push_back({std::move(task), tasks.count, true, job, urgency});
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
    return IsPlacedBefore(a.urgency, b.urgency);
  });
  return waiting;
}

}  // namespace dottereltrack::pool
