#include "core/pool/entry/outcomes.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/pool/entry/accepted_memory.h"
#include "core/pool/entry/crashes.h"
#include "core/pool/entry/evacuation.h"
#include "core/pool/entry/forwarding.h"
#include "core/pool/entry/past_jobs.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

// A task that has failed on fewer distinct minions may have run on faulty
// minions only, so its job does not fail yet.
constexpr std::size_t kMinFailedMinions = 3;

// Added to a run number that a minion has refused as too low: the clock of the
// entry that gave the higher number may be ahead by seconds.
constexpr std::uint64_t kRunNumberIncrement = 60'000;

Decision JobDecision(const JobRow& job, Severity severity, std::string event,
                     const std::string& reason, const Now& now) {
  Decision decision{severity, std::move(event), job.id, {}, {}};
  if (!reason.empty()) decision.texts.emplace_back("reason", reason);
  decision.texts.emplace_back("queue", job.queue);
  decision.texts.emplace_back("request", job.request_id);
  decision.numbers = {{"age_ms", ToMilliseconds(now.boot - job.arrived_at)},
                      {"goal_ms", ToMilliseconds(job.goal_at - job.arrived_at)},
                      {"open_tasks", job.open_tasks}};
  return decision;
}

void ReplyToWaiters(const JobRow& job, ReplyKind kind, milliseconds retry_after,
                    EntryChanges* changes) {
  for (const CallId& call : job.waiters) {
    const bool refused = kind == ReplyKind::kNoMinions ||
                         kind == ReplyKind::kOverloaded ||
                         kind == ReplyKind::kStopping;
    changes->Add(Reply{call, kind, refused ? retry_after : milliseconds{0}});
  }
}

void RequestStop(const TaskRow& task, bool withholds_lease,
                 EntryChanges* changes) {
  changes->Add(SendMessage{
      task.link, StopRun{{task.key, task.run_number}, withholds_lease}});
  TaskRow stopping = task;
  stopping.state = TaskState::kStopping;
  changes->Add(Put<TaskRow>{stopping});
}

void StopRuns(const EntryBoard& board, const JobRow& job,
              EntryChanges* changes) {
  EraseUnstartedTasks(board, job.id, changes);
  const auto [begin, end] = TasksOf(board, job.id);
  for (auto it = begin; it != end; ++it) {
    const TaskRow& task = it->second;
    // Tasks that never started tell a resubmission nothing, and would be looked
    // at in each placement until the job is forgotten.
    if (task.state == TaskState::kWaiting && task.run_number == 0) {
      changes->Add(Erase<TaskRow>{task.key});
    }
    if (task.state != TaskState::kPlaced) continue;
    RequestStop(task, job.is_from_peer, changes);
  }
}

bool IsOutcome(ReplyKind kind) {
  return kind == ReplyKind::kCompleted || kind == ReplyKind::kFailed ||
         kind == ReplyKind::kCancelled;
}

bool IsUnannounced(const EntryBoard& board, std::uint64_t job) {
  const auto& digests = board.accepted_jobs.unannounced;
  return std::find(digests.begin(), digests.end(), DigestOf(job)) !=
         digests.end();
}

// Returns what is remembered of a job that ends with this reply.
std::optional<JobEnd> EndOf(const JobRow& job, ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kCompleted:
      return JobEnd::kCompleted;
    case ReplyKind::kFailed:
      return JobEnd::kFailed;
    case ReplyKind::kCancelled:
      return JobEnd::kCancelled;
    default:
      break;
  }
  if (!job.may_have_started && !job.may_have_run_before) return std::nullopt;
  return JobEnd::kGivenUp;
}

void EndJob(const EntryBoard& board, JobRow job, JobState state, ReplyKind kind,
            const Now& now, EntryChanges* changes,
            milliseconds retry_after = kRetryAfter) {
  ReplyToWaiters(job, kind, retry_after, changes);
  StopRuns(board, job, changes);
  changes->Append(WithdrawJob(board, job, kind, now));
  if (IsOutcome(kind) && IsUnannounced(board, job.id)) {
    changes->Add(SetAnnouncementDue{});
  }
  const auto end = EndOf(job, kind);
  if (!end) {
    // The job was refused and has not run, so nothing of it needs to be known.
    changes->Add(Erase<JobRow>{job.id});
    return;
  }
  job.forwarded_to.reset();
  job.asked_to_take_over.reset();
  job.waiters.clear();
  job.state = state;
  job.ended_at = now.boot;
  // A repeated submission brings them again.
  job.payload = Bytes();
  job.memory_bytes = kOutcomeBytes;
  job.forwarded_steps.clear();
  changes->Add(Put<JobRow>{job});
  changes->Add(Put<PastJob>{{job.id, *end, now.boot}});
}

// Returns the task whose current run a message of an agent refers to; null if
// the message refers to an earlier run.
const TaskRow* FindTaskOfRun(const EntryBoard& board, LinkId link,
                             const RunKey& run) {
  const TaskRow* task = board.tasks.Find(run.task);
  if (task == nullptr || task->run_number != run.number || task->link != link) {
    return nullptr;
  }
  const bool is_open =
      task->state == TaskState::kPlaced || task->state == TaskState::kStopping;
  return is_open ? task : nullptr;
}

Decision RunDecision(const TaskRow& task, std::string event,
                     const std::string& reason, const Now& now) {
  return {
      Severity::kFailure,
      std::move(event),
      task.key.job,
      {{"task", ToText(task.key)}, {"reason", reason}, {"minion", task.minion}},
      {{"run", static_cast<std::int64_t>(task.run_number)},
       {"after_ms", ToMilliseconds(now.boot - task.placed_at)}}};
}

void EraseTasks(const EntryBoard& board, std::uint64_t job,
                EntryChanges* changes) {
  EraseUnstartedTasks(board, job, changes);
  const auto [begin, end] = TasksOf(board, job);
  for (auto it = begin; it != end; ++it) {
    changes->Add(Erase<TaskRow>{it->first});
  }
}

void CompleteTask(const EntryBoard& board, const TaskRow& task, const Now& now,
                  EntryChanges* changes) {
  TaskRow done = task;
  done.state = TaskState::kDone;
  changes->Add(Put<TaskRow>{done});
  const JobRow* found = board.jobs.Find(task.key.job);
  if (found == nullptr) return;
  JobRow job = *found;
  --job.open_tasks;
  if (job.state != JobState::kActive || job.open_tasks > 0) {
    // The last run of an abandoned job may be done before its stop arrives.
    if (job.open_tasks == 0 && MayHaveRunBefore(board, job.id)) {
      job.state = JobState::kCompleted;
      changes->Add(Put<PastJob>{{job.id, JobEnd::kCompleted, now.boot}});
    }
    changes->Add(Put<JobRow>{job});
    return;
  }
  changes->Append(CompleteJob(board, job, now));
}

bool HasExhaustedAttempts(const TaskRow& task, const JobRow& job) {
  return task.failures >= job.max_attempts &&
         task.failed_minions.size() >= kMinFailedMinions;
}

void RecordFailedRun(const EntryBoard& board, const TaskRow& task,
                     bool counts_as_failure, const Now& now,
                     EntryChanges* changes) {
  TaskRow failed = task;
  failed.state = TaskState::kWaiting;
  if (counts_as_failure) ++failed.failures;
  auto& minions = failed.failed_minions;
  if (std::find(minions.begin(), minions.end(), task.minion) == minions.end()) {
    minions.push_back(task.minion);
  }
  const JobRow* job = board.jobs.Find(task.key.job);
  const bool is_active = job != nullptr && job->state == JobState::kActive;
  if (is_active && counts_as_failure && HasExhaustedAttempts(failed, *job)) {
    changes->Append(FailJob(
        board, *job,
        "a task failed on " + std::to_string(minions.size()) + " minions",
        now));
  }
  // FailJob also marks this run as being stopped, since the board still has it;
  // without this row, the job would wait for its end for ever.
  changes->Add(Put<TaskRow>{failed});
}

// Adds the resources of a run that has ended to the free ones of its agent,
// unless a load report follows at once.
void CountFreedResources(const EntryBoard& board, const TaskRow& task,
                         EntryChanges* changes) {
  const AgentRow* agent = board.agents.Find(task.link);
  if (agent == nullptr || agent->report_interval.count() == 0) return;
  AgentRow row = *agent;
  row.free += task.needs;
  changes->Add(Put<AgentRow>{std::move(row)});
}

void ReturnToWaiting(const TaskRow& task, EntryChanges* changes) {
  TaskRow waiting = task;
  waiting.state = TaskState::kWaiting;
  changes->Add(Put<TaskRow>{waiting});
}

bool HasLiveRuns(const EntryBoard& board, std::uint64_t job) {
  const auto [begin, end] = TasksOf(board, job);
  return std::any_of(begin, end, [](const auto& it) {
    const TaskState state = it.second.state;
    return state == TaskState::kPlaced || state == TaskState::kStopping ||
           state == TaskState::kLost;
  });
}

void RemoveEndedJob(const EntryBoard& board, std::uint64_t job,
                    EntryChanges* changes) {
  if (HasLiveRuns(board, job)) return;
  EraseTasks(board, job, changes);
  changes->Add(Erase<JobRow>{job});
}

}  // namespace

EntryChanges StopPlacedRuns(const EntryBoard& board, const JobRow& job) {
  EntryChanges changes;
  const auto [begin, end] = TasksOf(board, job.id);
  for (auto it = begin; it != end; ++it) {
    if (it->second.state != TaskState::kPlaced) continue;
    RequestStop(it->second, true, &changes);
  }
  return changes;
}

bool MayHaveRuns(const EntryBoard& board, std::uint64_t job) {
  const auto [begin, end] = UnstartedTasksOf(board, job);
  return HasLiveRuns(board, job) || std::any_of(begin, end, [](const auto& it) {
           return it.second.IsBlocked();
         });
}

bool HasAcceptingAgent(const EntryBoard& board, const std::string& service) {
  return std::any_of(board.agents.begin(), board.agents.end(),
                     [&](const auto& it) {
                       return IsUsable(board, it.second) &&
                              it.second.hello->service == service;
                     });
}

EntryChanges HandleRunEnded(const EntryBoard& board, LinkId link,
                            const RunEnded& message, const Now& now) {
  EntryChanges changes;
  const TaskRow* task = FindTaskOfRun(board, link, message.run);
  if (task == nullptr) return changes;
  CountFreedResources(board, *task, &changes);
  if (message.end == RunEnd::kDone) {
    CompleteTask(board, *task, now, &changes);
    return changes;
  }
  Decision decision =
      RunDecision(*task, "run_ended", ToString(message.end), now);
  const int crashes = CountCrashes(board, task->key).Total();
  if (crashes > 0) decision.numbers.emplace_back("crashes", crashes);
  changes.Add(std::move(decision));
  const bool failed = message.end == RunEnd::kFailed;
  if (failed || message.end == RunEnd::kStalled) {
    RecordFailedRun(board, *task, failed, now, &changes);
  } else {
    ReturnToWaiting(*task, &changes);
  }
  return changes;
}

EntryChanges HandleStartRefused(const EntryBoard& board, LinkId link,
                                const StartRefused& message, const Now& now) {
  EntryChanges changes;
  const TaskRow* task = FindTaskOfRun(board, link, message.run);
  if (task == nullptr) return changes;
  Decision decision =
      RunDecision(*task, "start_refused", ToString(message.refusal), now);
  // Expected if several entries see the same free resources.
  if (message.refusal == StartRefusal::kNoRoom) {
    decision.severity = Severity::kRoutine;
  }
  changes.Add(std::move(decision));
  if (message.refusal == StartRefusal::kRejected) {
    RecordFailedRun(board, *task, true, now, &changes);
    return changes;
  }
  TaskRow waiting = *task;
  waiting.state = TaskState::kWaiting;
  if (message.refusal == StartRefusal::kOldNumber) {
    waiting.run_number += kRunNumberIncrement;
  }
  changes.Add(Put<TaskRow>{waiting});
  return changes;
}

EntryChanges AbandonJob(const EntryBoard& board, const JobRow& job,
                        ReplyKind reply, const std::string& reason,
                        const Now& now, milliseconds retry_after) {
  EntryChanges changes;
  changes.Add(
      JobDecision(job, Severity::kFailure, "job_given_up", reason, now));
  EndJob(board, job, JobState::kAbandoned, reply, now, &changes, retry_after);
  return changes;
}

EntryChanges CompleteJob(const EntryBoard& board, const JobRow& job,
                         const Now& now) {
  EntryChanges changes;
  const bool is_late = now.boot > job.goal_at;
  changes.Add(JobDecision(job,
                          is_late ? Severity::kFailure : Severity::kRoutine,
                          is_late ? "job_late" : "job_completed", "", now));
  EndJob(board, job, JobState::kCompleted, ReplyKind::kCompleted, now,
         &changes);
  EraseTasks(board, job.id, &changes);
  return changes;
}

EntryChanges RemoveWaiter(const EntryBoard& board, const JobRow& job,
                          CallId call, const std::string& reason,
                          const Now& now) {
  EntryChanges changes;
  const auto it = std::find(job.waiters.begin(), job.waiters.end(), call);
  if (it == job.waiters.end()) return changes;
  JobRow updated = job;
  updated.waiters.erase(updated.waiters.begin() + (it - job.waiters.begin()));
  if (updated.waiters.empty() && updated.state == JobState::kActive) {
    return AbandonJob(board, updated, ReplyKind::kGivenUp, reason, now);
  }
  changes.Add(Put<JobRow>{updated});
  return changes;
}

EntryChanges FailJob(const EntryBoard& board, const JobRow& job,
                     const std::string& reason, const Now& now) {
  EntryChanges changes;
  changes.Add(JobDecision(job, Severity::kFailure, "job_failed", reason, now));
  EndJob(board, job, JobState::kFailed, ReplyKind::kFailed, now, &changes);
  return changes;
}

ReplyKind RefusalOf(const JobRow& job, ReplyKind refusal) {
  const bool may_have_run = job.may_have_started || job.may_have_run_before;
  return may_have_run ? ReplyKind::kGivenUp : refusal;
}

EntryChanges HandleCallerDisconnected(const EntryBoard& board, CallId call,
                                      const Now& now) {
  const auto found = board.job_by_call.find(call);
  if (found == board.job_by_call.end()) return {};
  const JobRow* job = board.jobs.Find(found->second);
  // The submission may be held.
  if (job == nullptr) return {};
  return RemoveWaiter(board, *job, call, "the caller closed its connection",
                      now);
}

EntryChanges CheckTimeLimits(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const std::uint64_t id : board.active_jobs) {
    const JobRow& job = *board.jobs.Find(id);
    if (now.boot >= job.deadline_at) {
      changes.Append(AbandonJob(board, job,
                                RefusalOf(job, ReplyKind::kOverloaded),
                                "deadline reached", now));
      continue;
    }
    const auto goal = job.goal_at - job.arrived_at;
    const auto refusal_delay = board.settings.refusal_goal_share * goal;
    const bool is_warmed_up =
        now.boot >= board.started_at + board.settings.warm_up_time;
    if (is_warmed_up && !job.may_have_started &&
        now.boot - job.arrived_at >= refusal_delay &&
        !HasAcceptingAgent(board, job.service)) {
      changes.Append(AbandonJob(board, job,
                                RefusalOf(job, ReplyKind::kNoMinions),
                                "no minion takes runs", now));
    }
  }
  for (const TaskKey& key : board.lost_tasks) {
    const TaskRow& task = *board.tasks.Find(key);
    if (now.boot >= task.lost_run_ends_by) ReturnToWaiting(task, &changes);
  }
  ReleaseBlockedTasks(board, now, &changes);
  for (const auto& [ended_at, id] : board.ended_jobs_by_age) {
    if (now.boot < ended_at + board.settings.outcome_retention) break;
    RemoveEndedJob(board, id, &changes);
  }
  return changes;
}

}  // namespace dottereltrack::pool
