#include "core/pool/entry/waiting_tasks.h"

#include <algorithm>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/crashes.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

StartUrgency MakeUrgency(const JobRow& job, const TaskKey& key,
                         milliseconds estimate, double work, const Now& now) {
  StartUrgency urgency;
  urgency.latest_start = job.goal_at - estimate;
  urgency.is_late = urgency.latest_start < now.boot;
  urgency.job_has_started = job.may_have_started;
  urgency.remaining_work = static_cast<double>(job.open_tasks) * work;
  urgency.key = key;
  return urgency;
}

// Another entry may have taken over a job whose tasks have rows here.
bool MayStart(const JobRow* job) {
  return job != nullptr && job->state == JobState::kActive &&
         !job->forwarded_to;
}

}  // namespace

TaskRow FirstRowOf(const WaitingTasks& tasks) {
  return tasks.task ? *tasks.task : MakeTaskRow(*tasks.unstarted, 0);
}

std::vector<WaitingTasks> CollectWaitingTasks(const EntryBoard& board,
                                              const Now& now) {
  std::vector<WaitingTasks> waiting;
  for (const TaskKey& key : board.waiting_tasks) {
    const JobRow* job = board.jobs.Find(key.job);
    if (!MayStart(job)) continue;
    const TaskRow& task = *board.tasks.Find(key);
    StartUrgency urgency =
        MakeUrgency(*job, key, task.estimate, WorkOf(task), now);
    urgency.is_suspect = IsSuspect(board, key);
    waiting.push_back({&task, nullptr, job, urgency});
  }
  for (const auto& [first, tasks] : board.unstarted_tasks) {
    const JobRow* job = board.jobs.Find(first.job);
    if (!MayStart(job) || tasks.IsBlocked()) continue;
    const double work = WorkOf(tasks) / tasks.count;
    waiting.push_back({nullptr, &tasks, job,
                       MakeUrgency(*job, first, tasks.estimate, work, now)});
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
    return IsPlacedBefore(a.urgency, b.urgency);
  });
  return waiting;
}

}  // namespace dottereltrack::pool
