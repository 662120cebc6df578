#include "core/pool/entry/submission.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "core/pool/entry/accepted_memory.h"
#include "core/pool/entry/backlog.h"
#include "core/pool/entry/crashes.h"
#include "core/pool/entry/evacuation.h"
#include "core/pool/entry/locality.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/past_jobs.h"
#include "core/pool/entry/pending_submissions.h"
#include "core/pool/entry/refusal.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

EntryChanges RefuseJob(const EntryBoard& board, const JobSubmitted& e,
                       const PeerAnswers& answers, ReplyKind kind,
                       milliseconds retry_after, Decision reason) {
  EntryChanges changes;
  if (answers.may_have_run || MayHaveRunBefore(board, e.job.id)) {
    kind = ReplyKind::kGivenUp;
    retry_after = milliseconds{0};
  }
  changes.Add(Reply{e.call, kind, retry_after});
  reason.severity = Severity::kFailure;
  reason.event = "job_refused";
  reason.job = e.job.id;
  reason.texts.emplace_back("request", e.request_id);
  changes.Add(std::move(reason));
  return changes;
}

EntryChanges RefuseForMemory(const EntryBoard& board, const JobSubmitted& e,
                             PeerAnswers answers, const std::string& shortage,
                             const std::string& service, const Now& now) {
  // There is no memory to hold the submission while peers are asked.
  if (!answers.are_complete) {
    answers.may_have_run = IsKnownToPeers(board, e.job.id);
  }
  const auto bytes = static_cast<std::int64_t>(board.accepted.bytes);
  return RefuseJob(board, e, answers, ReplyKind::kOverloaded,
                   DelayOfRetry(board, service, e.job.id, now),
                   {.texts = {{"reason", shortage}, {"source", e.source}},
                    .numbers = {{"accepted_bytes", bytes}}});
}

// Replies to a job that another entry may have run that it has failed.
EntryChanges FailAtOnce(const JobSubmitted& e, const QueueConfig& queue) {
  EntryChanges changes;
  changes.Add(Reply{e.call, ReplyKind::kFailed});
  changes.Add(Decision{Severity::kFailure,
                       "job_failed",
                       e.job.id,
                       {{"reason", "minions have crashed under a task before"},
                        {"queue", queue.name},
                        {"request", e.request_id}},
                       {}});
  return changes;
}

milliseconds LongestEstimate(const JobSpec& job) {
  milliseconds longest{0};
  for (const StepSpec& step : job.steps) {
    longest = std::max(longest, step.estimate);
  }
  return longest;
}

// Whether a job that is accepted while the process is stopping is likely to end
// before the process exits.
bool CanEndBeforeExit(const EntryBoard& board, const JobSpec& job,
                      const Now& now) {
  const EntrySettings& settings = board.settings;
  const auto needed = settings.shutdown_estimate_factor * LongestEstimate(job);
  return now.boot + needed <= board.stopping_since + settings.max_shutdown_time;
}

JobRow MakeJobRow(const JobSubmitted& e, const QueueConfig& queue,
                  const Now& now) {
  JobRow job;
  job.id = e.job.id;
  job.request_id = e.request_id;
  job.payload = e.job.payload;
  job.source = e.source;
  job.memory_bytes = MemoryOf(e.job);
  job.queue = queue.name;
  job.service = queue.service;
  job.max_attempts = queue.max_attempts;
  job.waiters = {e.call};
  job.arrived_at = now.boot - e.age;
  const double stretched_estimate_ms =
      queue.stretch * static_cast<double>(LongestEstimate(e.job).count());
  job.goal_at = job.arrived_at + queue.target_latency +
                milliseconds{std::llround(stretched_estimate_ms)};
  job.deadline_at = now.boot + e.client_timeout;
  job.is_from_peer = e.is_from_peer;
  return job;
}

// Tasks of a step that the board has, by their first index.
struct KnownPart {
  std::uint32_t count = 1;
  bool is_done = false;
};
using KnownTasks = std::map<std::uint32_t, KnownPart>;

KnownTasks FindKnownTasks(const EntryBoard& board, std::uint64_t job,
                          std::uint32_t step) {
  KnownTasks known;
  const auto [begin, end] = TasksOf(board, job);
  for (auto it = begin; it != end; ++it) {
    const TaskRow& task = it->second;
    if (task.key.step != step) continue;
    known[task.key.index] = {1, task.state == TaskState::kDone};
  }
  const auto [first, last] = UnstartedTasksOf(board, job);
  for (auto it = first; it != last; ++it) {
    if (it->first.step == step) known[it->first.index] = {it->second.count};
  }
  return known;
}

// Adds the tasks of a step that the board does not have, and returns how many
// tasks of the step have not ended.
std::uint32_t AddTasksOfStep(const EntryBoard& board, const JobRow& job,
                             std::uint32_t step, const StepSpec& spec,
                             BootTime blocked_until, EntryChanges* changes) {
  const KnownTasks known = FindKnownTasks(board, job.id, step);
  std::uint32_t done = 0;
  std::uint32_t index = 0;
  const auto add_until = [&](std::uint32_t end) {
    if (end <= index) return;
    UnstartedTasks tasks =
        MakeUnstartedTasks(job, step, index, end - index, spec);
    tasks.blocked_until = blocked_until;
    changes->Add(Put<UnstartedTasks>{std::move(tasks)});
  };
  for (const auto& [first, tasks] : known) {
    if (first >= spec.count) break;
    add_until(first);
    index = std::min(first + tasks.count, spec.count);
    if (tasks.is_done) ++done;
  }
  add_until(spec.count);
  return spec.count - done;
}

// Adds the rows of a job and its tasks. Tasks of an earlier, abandoned
// submission of the job are kept: they are done, or their runs may not have
// ended yet.
EntryChanges AcceptJob(const EntryBoard& board, const JobSubmitted& e,
                       const QueueConfig& queue, const PeerAnswers& answers,
                       const Now& now) {
  EntryChanges changes;
  JobRow job = MakeJobRow(e, queue, now);
  job.may_have_run_before =
      answers.may_have_run || MayHaveRunBefore(board, e.job.id);
  const bool has_runs = answers.runs_end_by > now.boot;
  job.open_tasks =
      AddMissingTasks(board, job, e.job.steps,
                      has_runs ? answers.runs_end_by : BootTime{0}, &changes);
  // The first entry of a forwarded job has announced it.
  job.is_announced = !e.is_from_peer;
  if (job.is_announced) changes.Add(AddAcceptedJob{DigestOf(job.id)});
  changes.Add(Put<JobRow>{job});
  return changes;
}

// Handles the submission of a job whose id is already known: replies with its
// outcome, or adds the caller to the waiting ones. A repeated submission of an
// abandoned job is accepted like a new one.
EntryChanges HandleRepeatedSubmission(const JobRow& known,
                                      const JobSubmitted& e, const Now& now) {
  EntryChanges changes;
  if (known.state == JobState::kCompleted) {
    changes.Add(Reply{e.call, ReplyKind::kCompleted});
  } else if (known.state == JobState::kFailed) {
    changes.Add(Reply{e.call, ReplyKind::kFailed});
  } else {
    JobRow job = WithWaiter(known, e.call, e.client_timeout, now);
    job.is_from_peer = job.is_from_peer || e.is_from_peer;
    changes.Add(Put<JobRow>{job});
  }
  changes.Add(Decision{Severity::kFailure,
                       "job_repeated",
                       e.job.id,
                       {{"request", e.request_id}},
                       {{"state", static_cast<int>(known.state)}}});
  return changes;
}

// Handles the submission of a job that has ended and must not run again.
EntryChanges ReplyToPastJob(const JobSubmitted& e, ReplyKind reply) {
  EntryChanges changes;
  changes.Add(Reply{e.call, reply});
  changes.Add(Decision{Severity::kFailure,
                       "job_repeated",
                       e.job.id,
                       {{"reason", "the job has ended or was cancelled"},
                        {"request", e.request_id}},
                       {}});
  return changes;
}

}  // namespace

JobRow WithWaiter(const JobRow& known, CallId call, milliseconds client_timeout,
                  const Now& now) {
  JobRow job = known;
  job.waiters.push_back(call);
  job.deadline_at = std::max(job.deadline_at, now.boot + client_timeout);
  return job;
}

std::uint32_t AddMissingTasks(const EntryBoard& board, const JobRow& job,
                              const std::vector<StepSpec>& steps,
                              BootTime blocked_until, EntryChanges* changes) {
  std::uint32_t open_tasks = 0;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    open_tasks +=
        AddTasksOfStep(board, job, step, steps[step], blocked_until, changes);
  }
  return open_tasks;
}

EntryChanges AcceptFollowedJob(const EntryBoard& board,
                               const std::vector<JobSubmitted>& submissions,
                               LinkId owner, const Now& now) {
  EntryChanges changes;
  const JobSubmitted& first = submissions.front();
  const QueueConfig* queue = FindQueue(board.config, first.host, first.path);
  if (queue == nullptr) {
    for (const JobSubmitted& e : submissions) {
      changes.Add(Reply{e.call, ReplyKind::kGivenUp});
    }
    changes.Add(SendMessage{owner, CancelJob{0, first.job.id, false}});
    return changes;
  }
  JobRow job = MakeJobRow(first, *queue, now);
  job.waiters.clear();
  for (const JobSubmitted& e : submissions) {
    job = WithWaiter(job, e.call, e.client_timeout, now);
    job.is_from_peer = job.is_from_peer || e.is_from_peer;
  }
  job.forwarded_to = owner;
  job.forwarded_steps = first.job.steps;
  job.may_have_started = true;
  for (const StepSpec& step : first.job.steps) job.open_tasks += step.count;
  changes.Add(Put<JobRow>{std::move(job)});
  return changes;
}

EntryChanges HandleSubmission(const EntryBoard& board, const JobSubmitted& e,
                              const Now& now, const PeerAnswers& answers) {
  const JobRow* known = board.jobs.Find(e.job.id);
  if (known != nullptr && known->state != JobState::kAbandoned) {
    return HandleRepeatedSubmission(*known, e, now);
  }
  const auto past_reply = FindReplyToPastJob(board, e.job.id);
  if (past_reply) return ReplyToPastJob(e, *past_reply);
  if (board.config.version == 0) {
    return RefuseJob(board, e, answers, ReplyKind::kNoConfig, kRetryAfter,
                     {.texts = {{"reason", "no configuration has been read"}}});
  }
  const QueueConfig* queue = FindQueue(board.config, e.host, e.path);
  const auto version = static_cast<std::int64_t>(board.config.version);
  if (queue == nullptr) {
    return RefuseJob(board, e, answers, ReplyKind::kNoQueue, milliseconds{0},
                     {.texts = {{"reason", "no queue for this host and path"}},
                      .numbers = {{"config_version", version}}});
  }
  if (!e.job.unsupported.empty()) {
    return RefuseJob(board, e, answers, ReplyKind::kUnsupported,
                     milliseconds{0},
                     {.texts = {{"reason", e.job.unsupported}}});
  }
  if (IsCrashingJob(board, e.job.id)) return FailAtOnce(e, *queue);
  const auto shortage = FindMemoryShortage(board, e);
  if (!shortage && !e.is_from_peer && !answers.are_complete) {
    if (auto held = HoldForPeers(board, e, now)) return std::move(*held);
  }
  if (board.stopping && !CanEndBeforeExit(board, e.job, now)) {
    return RefuseJob(board, e, answers, ReplyKind::kStopping, kRetryAfter,
                     {.texts = {{"reason", "this process is stopping"}}});
  }
  if (shortage) {
    return RefuseForMemory(board, e, answers, *shortage, queue->service, now);
  }
  const milliseconds backlog = EstimateBacklogDelay(board, queue->service, now);
  const bool is_warmed_up =
      now.boot >= board.started_at + board.settings.warm_up_time;
  if (HasOnlyEvacuatedMinions(board, queue->service, now)) {
    return RefuseJob(board, e, answers, ReplyKind::kNoMinions, kRetryAfter,
                     {.texts = {{"reason", kOnlyEvacuatedMinions}}});
  }
  if (is_warmed_up && !HasRequiredMinions(board, queue->service, e.job)) {
    return RefuseJob(board, e, answers, ReplyKind::kNoMinions, kRetryAfter,
                     {.texts = {{"reason", "no minion has a required label"}}});
  }
  if (is_warmed_up && backlog + LongestEstimate(e.job) > e.client_timeout) {
    return RefuseJob(board, e, answers, ReplyKind::kOverloaded,
                     DelayOfRetry(board, queue->service, e.job.id, now),
                     {.texts = {{"reason", "the backlog exceeds the deadline"}},
                      .numbers = {{"backlog_ms", backlog.count()},
                                  {"patience_ms", e.client_timeout.count()}}});
  }
  return AcceptJob(board, e, *queue, answers, now);
}

}  // namespace dottereltrack::pool
