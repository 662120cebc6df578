#include "core/entry/outcomes.h"

#include <map>
#include <string>

#include "core/entry/replies.h"
#include "core/entry/witnesses.h"

namespace dottereltrack {
namespace {

bool IsNotDone(const TaskOutcome& outcome) {
  return !std::holds_alternative<Done>(outcome);
}

const char* FailureCodeOf(const TaskOutcome& outcome) {
  if (std::holds_alternative<Failed>(outcome)) return "task_failed";
  if (std::holds_alternative<Unknown>(outcome)) return "task_unknown";
  return "task_not_run";
}

// Collects the outcomes set in one call of FinishTasks. If several tasks of a
// job end together, all of them update the same copy of the job, so that each
// is counted exactly once.
class OutcomeCollector {
 public:
  explicit OutcomeCollector(const EntryBoard& board) : board_(board) {}

  void SetOutcome(const Task& task, const TaskOutcome& outcome) {
    if (task.outcome || tasks_.count(task.id) != 0) return;
    Job* job = FindOrCopyJob(task.id.submission);
    if (job == nullptr) return;
    Task next = task;
    next.state = TaskState::kFinal;
    next.outcome = outcome;
    // No agent holds a record of a task that did not run.
    if (std::holds_alternative<NotRun>(outcome)) next.holder = AgentId{};
    ++job->final_tasks;
    if (IsNotDone(outcome)) CountTaskNotDone(job, outcome);
    if (std::holds_alternative<Unknown>(outcome)) ++unknowns_;
    tasks_.emplace(task.id, std::move(next));
  }

  // Ends the queued tasks of each job that can no longer complete.
  void EndQueuedTasksOfFailedJobs() {
    for (const auto& [id, job] : jobs_) {
      if (job.unsuccessful_tasks == 0) continue;
      for (std::uint32_t n = 0; n < job.task_count; ++n) {
        const Task* task = board_.tasks.Find({id, n});
        if (task == nullptr) continue;
        const auto proof = ProveNeverSent(*task);
        if (proof) SetOutcome(*task, NotRun{"job_failed", *proof});
      }
    }
  }

  EntryChanges TakeChanges() {
    EntryChanges changes;
    for (auto& [id, task] : tasks_) changes.Add(Put<Task>{std::move(task)});
    for (auto& [id, job] : jobs_) changes.Add(Put<Job>{std::move(job)});
    if (unknowns_ > 0) changes.Add(Count{Counter::kOutcomesUnknown, unknowns_});
    return changes;
  }

 private:
  Job* FindOrCopyJob(const SubmissionId& id) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) return &it->second;
    const Job* job = board_.jobs.Find(id);
    if (job == nullptr) return nullptr;
    return &jobs_.emplace(id, *job).first->second;
  }

  static void CountTaskNotDone(Job* job, const TaskOutcome& outcome) {
    ++job->unsuccessful_tasks;
    if (!job->failure.empty()) return;
    const auto* not_run = std::get_if<NotRun>(&outcome);
    job->failure =
        not_run != nullptr ? not_run->reason : FailureCodeOf(outcome);
  }

  const EntryBoard& board_;
  std::map<SubmissionId, Job> jobs_;
  std::map<TaskId, Task> tasks_;
  std::uint64_t unknowns_ = 0;
};

// Whether a later dispatcher that has only the ledgers could answer
// differently: it could run a task that has no record, and a task that ended as
// unknown could turn out to be done.
bool NeedsClosedRecord(const EntryBoard& board, const Job& job) {
  if (job.unsuccessful_tasks == 0) return false;
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    const TaskOutcome& outcome = *board.tasks.Find({job.id, n})->outcome;
    if (std::holds_alternative<NotRun>(outcome)) return true;
    if (std::holds_alternative<Unknown>(outcome)) return true;
  }
  return false;
}

EntryChanges BeginClosingJob(const EntryBoard& board, const Job& job,
                             const Now& now) {
  Job next = job;
  next.state = JobState::kClosing;
  EntryChanges changes;
  changes.Add(Put<Job>{next});
  changes.Append(RequestWitnesses(board, {job.id, job.body_digest, true}, now));
  return changes;
}

EntryChanges CountDropped(Counter counter) {
  EntryChanges changes;
  changes.Add(Count{counter});
  return changes;
}

// Handles the result of a task that an earlier dispatcher started and that no
// open job has resolved yet.
EntryChanges UpdateRecoveredTask(const EntryBoard& board, const AgentRow& agent,
                                 const TaskResult& result) {
  const RecoveredTask* recovered = board.recovered_tasks.Find(result.id);
  if (recovered == nullptr || recovered->holder != agent.id) {
    return CountDropped(Counter::kLateResultsDropped);
  }
  RecoveredTask next = *recovered;
  next.entry.state = result.state;
  next.entry.output = result.output;
  EntryChanges changes;
  changes.Add(Put<RecoveredTask>{next});
  return changes;
}

// Handles the refusal of a start that an earlier dispatcher sent: the task did
// not start.
EntryChanges EraseRecoveredTask(const EntryBoard& board, const AgentRow& agent,
                                const TaskRefused& refusal) {
  const RecoveredTask* recovered = board.recovered_tasks.Find(refusal.id);
  const bool is_recorded_running =
      recovered != nullptr && recovered->holder == agent.id &&
      recovered->entry.state == LedgerState::kRunning;
  if (!is_recorded_running) return CountDropped(Counter::kLateResultsDropped);
  EntryChanges changes;
  changes.Add(Erase<RecoveredTask>{refusal.id});
  return changes;
}

}  // namespace

EntryChanges FinishTasks(const EntryBoard& board,
                         const std::vector<TaskDecision>& decisions) {
  OutcomeCollector collector(board);
  for (const TaskDecision& decision : decisions) {
    const Task* task = board.tasks.Find(decision.id);
    if (task != nullptr) collector.SetOutcome(*task, decision.outcome);
  }
  collector.EndQueuedTasksOfFailedJobs();
  return collector.TakeChanges();
}

EntryChanges EndDecidedJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const SubmissionId& id : board.decided_jobs) {
    const Job& job = *board.jobs.Find(id);
    changes.Append(NeedsClosedRecord(board, job)
                       ? BeginClosingJob(board, job, now)
                       : EndJob(board, job, now));
  }
  return changes;
}

EntryChanges EndJob(const EntryBoard& board, const Job& job, const Now& now) {
  const bool complete =
      job.unsuccessful_tasks == 0 && !job.closed_by_earlier_dispatcher;
  Job next = job;
  next.state = complete ? JobState::kComplete : JobState::kFailed;
  next.finished_at = now.boot;
  next.body = {};
  next.memory_bytes = 0;
  if (!complete && next.failure.empty()) next.failure = "submission_closed";
  EntryChanges changes;
  changes.Add(Put<Job>{next});
  changes.Add(Count{complete ? Counter::kJobsComplete : Counter::kJobsFailed});
  changes.Append(SendAnswerToWaiters(board, next));
  return changes;
}

EntryChanges ReportUnrecordedNotRunAsUnknown(const EntryBoard& board,
                                             const Job& job) {
  EntryChanges changes;
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    const Task& task = *board.tasks.Find({job.id, n});
    const auto* not_run = std::get_if<NotRun>(&*task.outcome);
    if (not_run == nullptr) continue;
    Task next = task;
    next.outcome = Unknown{not_run->reason +
                           "; no witness could record that it is closed"};
    changes.Add(Put<Task>{next});
  }
  return changes;
}

TaskOutcome OutcomeOf(LedgerState state, const Bytes& output) {
  switch (state) {
    case LedgerState::kDone:
      return Done{output};
    case LedgerState::kFailed:
      return Failed{*output};
    case LedgerState::kRunning:
    case LedgerState::kUnknown:
      break;
  }
  return Unknown{*output};
}

EntryChanges HandleResult(const EntryBoard& board, const AgentRow& agent,
                          const TaskResult& result) {
  const Task* task = board.tasks.Find(result.id);
  if (task == nullptr || task->state == TaskState::kUnresolved) {
    return UpdateRecoveredTask(board, agent, result);
  }
  if (task->state != TaskState::kSent || task->agent != agent.id) {
    return CountDropped(Counter::kLateResultsDropped);
  }
  EntryChanges changes =
      FinishTasks(board, {{result.id, OutcomeOf(result.state, result.output)}});
  changes.Add(Count{Counter::kResults});
  return changes;
}

EntryChanges HandleRefusedStart(const EntryBoard& board, const AgentRow& agent,
                                const TaskRefused& refusal) {
  const Task* task = board.tasks.Find(refusal.id);
  if (task == nullptr || task->state == TaskState::kUnresolved) {
    return EraseRecoveredTask(board, agent, refusal);
  }
  if (task->agent != agent.id) {
    return CountDropped(Counter::kLateResultsDropped);
  }
  const auto proof = ProveRefused(*task, refusal);
  if (!proof) return CountDropped(Counter::kLateResultsDropped);
  EntryChanges changes;
  changes.Add(Count{Counter::kStartsRefused});
  const Job& job = *board.jobs.Find(task->id.submission);
  const bool job_failed = job.unsuccessful_tasks > 0 || job.cancelled;
  if (job_failed || task->refused_starts >= board.settings.max_start_retries) {
    const char* reason = job.cancelled ? "cancelled"
                         : job_failed  ? "job_failed"
                                       : "start_retries_used_up";
    changes.Append(FinishTasks(board, {{task->id, NotRun{reason, *proof}}}));
    return changes;
  }
  Task next = *task;
  next.state = TaskState::kQueued;
  next.holder = AgentId{};
  ++next.refused_starts;
  changes.Add(Put<Task>{next});
  return changes;
}

}  // namespace dottereltrack
