#include "core/pool/entry/submission.h"

#include <algorithm>
#include <cmath>

#include "core/pool/entry/outcomes.h"

namespace dottereltrack::pool {
namespace {

// Delays after which a refused caller should try again. A burst lasts for
// seconds; an agent reconnects within a second.
constexpr milliseconds kOverloadRetryAfter{2'000};
constexpr milliseconds kRetryAfter{1'000};

EntryChanges Refuse(const JobSubmitted& e, ReplyKind kind,
                    milliseconds retry_after, Decision reason) {
  EntryChanges changes;
  changes.Add(Reply{e.call, kind, retry_after});
  reason.weight = Weight::kFailure;
  reason.what = "job_refused";
  reason.job = e.job.id;
  reason.texts.emplace_back("request", e.request_id);
  changes.Add(std::move(reason));
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
  const auto needed = settings.stop_slack * LongestEstimate(job);
  return now.boot + needed <= board.stopping_since + settings.stop_max;
}

TaskRow NewTask(const TaskKey& key, const StepSpec& step) {
  TaskRow task;
  task.key = key;
  task.needs = step.needs;
  task.estimate = step.estimate;
  return task;
}

JobRow NewJob(const JobSubmitted& e, const QueueConfig& queue, const Now& now) {
  JobRow job;
  job.id = e.job.id;
  job.request_id = e.request_id;
  job.payload = e.job.payload;
  job.queue = queue.name;
  job.service = queue.service;
  job.max_attempts = queue.max_attempts;
  job.waiters = {e.call};
  job.arrived_at = now.boot;
  const double chain_ms =
      queue.stretch * static_cast<double>(LongestEstimate(e.job).count());
  job.goal_at =
      now.boot + queue.target_latency + milliseconds{std::llround(chain_ms)};
  job.deadline_at = now.boot + e.patience;
  return job;
}

// Adds the rows of a job and its tasks. Task rows of an earlier, abandoned
// submission of the job are kept: they are done, or their runs may not have
// ended yet.
EntryChanges Accept(const EntryBoard& board, const JobSubmitted& e,
                    const QueueConfig& queue, const Now& now) {
  EntryChanges changes;
  JobRow job = NewJob(e, queue, now);
  for (std::uint32_t step = 0; step < e.job.steps.size(); ++step) {
    for (std::uint32_t n = 0; n < e.job.steps[step].count; ++n) {
      const TaskKey key{job.id, step, n};
      const TaskRow* known = board.tasks.Find(key);
      if (known == nullptr) {
        changes.Add(Put<TaskRow>{NewTask(key, e.job.steps[step])});
      }
      if (known == nullptr || known->state != TaskState::kDone) {
        ++job.open_tasks;
      }
    }
  }
  changes.Add(Put<JobRow>{job});
  return changes;
}

// Handles the submission of a job whose id is already known: replies with its
// outcome, or adds the caller to the waiting ones. A repeated submission of an
// abandoned job is accepted like a new one.
EntryChanges Repeat(const JobRow& known, const JobSubmitted& e,
                    const Now& now) {
  EntryChanges changes;
  if (known.state == JobState::kCompleted) {
    changes.Add(Reply{e.call, ReplyKind::kCompleted});
  } else if (known.state == JobState::kFailed) {
    changes.Add(Reply{e.call, ReplyKind::kFailed});
  } else {
    JobRow job = known;
    job.waiters.push_back(e.call);
    job.deadline_at = std::max(job.deadline_at, now.boot + e.patience);
    changes.Add(Put<JobRow>{job});
  }
  changes.Add(Decision{Weight::kFailure,
                       "job_repeated",
                       e.job.id,
                       {{"request", e.request_id}},
                       {{"state", static_cast<int>(known.state)}}});
  return changes;
}

}  // namespace

milliseconds BacklogDelay(const EntryBoard& board, const std::string& service) {
  double waiting = 0;
  for (const TaskKey& key : board.waiting_tasks) {
    const TaskRow& task = *board.tasks.Find(key);
    const JobRow* job = board.jobs.Find(key.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (job->service != service) continue;
    waiting += static_cast<double>(task.needs.cpu_millis) *
               static_cast<double>(task.estimate.count());
  }
  double cores = 0;
  for (const auto& [link, agent] : board.agents) {
    if (agent.hello->service != service || !agent.load.accepting) continue;
    cores += static_cast<double>(agent.hello->capacity.cpu_millis);
  }
  if (waiting == 0 || cores == 0) return milliseconds{0};
  double entries = 1;
  for (const auto& [address, peer] : board.peers) {
    if (peer.link) ++entries;
  }
  return milliseconds{std::llround(waiting / (cores / entries))};
}

EntryChanges HandleSubmission(const EntryBoard& board, const JobSubmitted& e,
                              const Now& now) {
  if (board.config.version == 0) {
    return Refuse(e, ReplyKind::kNoConfig, kRetryAfter,
                  {.texts = {{"reason", "no configuration has been read"}}});
  }
  const QueueConfig* queue = FindQueue(board.config, e.host, e.path);
  const auto version = static_cast<std::int64_t>(board.config.version);
  if (queue == nullptr) {
    return Refuse(e, ReplyKind::kNoQueue, milliseconds{0},
                  {.texts = {{"reason", "no queue for this host and path"}},
                   .figures = {{"config_version", version}}});
  }
  if (!e.job.unsupported.empty()) {
    return Refuse(e, ReplyKind::kUnsupported, milliseconds{0},
                  {.texts = {{"reason", e.job.unsupported}}});
  }
  const JobRow* known = board.jobs.Find(e.job.id);
  if (known != nullptr && known->state != JobState::kAbandoned) {
    return Repeat(*known, e, now);
  }
  if (board.stopping && !CanEndBeforeExit(board, e.job, now)) {
    return Refuse(e, ReplyKind::kStopping, kRetryAfter,
                  {.texts = {{"reason", "this process is stopping"}}});
  }
  const milliseconds backlog = BacklogDelay(board, queue->service);
  const bool is_warm = now.boot >= board.started_at + board.settings.warm_up;
  if (is_warm && backlog + LongestEstimate(e.job) > e.patience) {
    return Refuse(e, ReplyKind::kOverloaded, kOverloadRetryAfter,
                  {.texts = {{"reason", "the backlog exceeds the deadline"}},
                   .figures = {{"backlog_ms", backlog.count()},
                               {"patience_ms", e.patience.count()}}});
  }
  return Accept(board, e, *queue, now);
}

}  // namespace dottereltrack::pool
