#include "core/entry/admission.h"

#include <string>

#include "core/entry/queue_limits.h"
#include "core/entry/replies.h"
#include "core/entry/takeover.h"
#include "core/entry/witnesses.h"

namespace dottereltrack {
namespace {

// Text form of a UUIDv7: 8-4-4-4-12 hexadecimal digits, with the version digit
// at index 14. The first 48 bits are a Unix timestamp in milliseconds.
constexpr std::size_t kUuidSize = 36;
constexpr std::size_t kUuidVersionPosition = 14;

bool IsDashPosition(std::size_t n) {
  return n == 8 || n == 13 || n == 18 || n == 23;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

Refusal MakeNotRunRefusal(RefusalKind kind, std::string message) {
  return Refusal{kind, std::move(message), ProveNeverAccepted(), std::nullopt};
}

std::optional<Refusal> ValidateTasks(const EntrySettings& settings,
                                     const SubmitRequest& request) {
  if (request.tasks.empty()) {
    return MakeNotRunRefusal(
        RefusalKind::kInvalidRequest,
        "the job has no tasks; list at least one in 'tasks'");
  }
  if (request.tasks.size() > settings.max_tasks_per_job) {
    return MakeNotRunRefusal(RefusalKind::kInvalidRequest,
                             "the job has " +
                                 std::to_string(request.tasks.size()) +
                                 " tasks; split it into jobs of at most " +
                                 std::to_string(settings.max_tasks_per_job));
  }
  for (const TaskSpec& task : request.tasks) {
    if (task.payload->size() <= settings.max_payload_bytes) continue;
    return MakeNotRunRefusal(RefusalKind::kInvalidRequest,
                             "a payload has " +
                                 std::to_string(task.payload->size()) +
                                 " bytes; send at most " +
                                 std::to_string(settings.max_payload_bytes));
  }
  return std::nullopt;
}

// Refuses a key whose issue time is older than the retention period, because
// its record may already have been dropped, or lies in the future.
std::optional<Refusal> CheckKeyAge(const EntrySettings& settings,
                                   const std::string& key, const Now& now) {
  const std::optional<WallTime> issued = IssueTimeFromKey(key);
  if (!issued) return std::nullopt;
  if (*issued + settings.retention < now.wall + settings.clock_skew) {
    return Refusal{RefusalKind::kKeyExpired,
                   "the key is older than the retention of " +
                       std::to_string(settings.retention.count()) +
                       " ms, so its record may be gone; check the outcome "
                       "before you submit the work under a new key",
                   std::nullopt, std::nullopt};
  }
  if (*issued > now.wall + settings.clock_skew) {
    return Refusal{RefusalKind::kKeyInFuture,
                   "the key's issue time lies in the future; set the clock of "
                   "the caller and submit with a new key",
                   std::nullopt, std::nullopt};
  }
  return std::nullopt;
}

std::optional<Refusal> CheckTeam(const CellConfig& config,
                                 const std::string& team) {
  if (config.teams.empty() || config.teams.count(team) != 0) {
    return std::nullopt;
  }
  return MakeNotRunRefusal(RefusalKind::kUnknownTeam,
                           "team '" + team +
                               "' is not configured; ask an operator to add it "
                               "with dotterelctl config set");
}

EntryChanges AttachToJob(const EntryBoard& board, const Job& job,
                         const SubmitRequest& request,
                         const ReplyTo& reply_to) {
  if (job.body_digest != request.body_digest) {
    return SendReply(board, reply_to, MakeKeyReusedRefusal());
  }
  if (job.state == JobState::kComplete || job.state == JobState::kFailed) {
    return SendReply(board, reply_to, AnswerOf(board, job));
  }
  EntryChanges changes;
  changes.Add(Put<Waiter>{{job.id, reply_to}});
  return changes;
}

EntryChanges AttachToClosedSubmission(const EntryBoard& board,
                                      const ClosedSubmission& closed,
                                      const ReplyTo& reply_to) {
  if (closed.refusal_sent) return SendReply(board, reply_to, closed.refusal);
  EntryChanges changes;
  changes.Add(Put<Waiter>{{closed.id, reply_to}});
  return changes;
}

Job MakeJob(const EntryBoard& board, const SubmissionId& id,
            const Shared<SubmitRequest>& request, const Now& now) {
  Job job;
  job.id = id;
  job.team = request->team;
  job.body_digest = request->body_digest;
  job.task_count = static_cast<std::uint32_t>(request->tasks.size());
  job.arrival_seq = board.next_arrival_seq;
  job.accepted_at = now.boot;
  job.deadline_at = now.boot + request->deadline;
  job.body = request;
  job.memory_bytes = MemoryOf(*request);
  return job;
}

}  // namespace

Refusal MakeKeyReusedRefusal() {
  return Refusal{RefusalKind::kKeyReused,
                 "the key belongs to a job with another body; use a new key "
                 "for each job",
                 std::nullopt, std::nullopt};
}

std::optional<WallTime> IssueTimeFromKey(const std::string& key) {
  if (key.size() != kUuidSize || key[kUuidVersionPosition] != '7') {
    return std::nullopt;
  }
  std::int64_t issue_time_ms = 0;
  for (std::size_t n = 0; n < key.size(); ++n) {
    if (IsDashPosition(n)) {
      if (key[n] != '-') return std::nullopt;
      continue;
    }
    const int digit = HexDigit(key[n]);
    if (digit < 0) return std::nullopt;
    if (n < 13) issue_time_ms = issue_time_ms * 16 + digit;
  }
  return WallTime{issue_time_ms};
}

std::optional<Refusal> ValidateRequest(const EntrySettings& settings,
                                       const SubmitRequest& request) {
  if (request.team.empty()) {
    return MakeNotRunRefusal(RefusalKind::kInvalidRequest,
                             "'team' is empty; name the team that pays");
  }
  if (request.key.empty() || request.key.size() > settings.max_key_bytes) {
    return MakeNotRunRefusal(
        RefusalKind::kInvalidRequest,
        "the key has " + std::to_string(request.key.size()) +
            " bytes; use 1 to " + std::to_string(settings.max_key_bytes));
  }
  if (request.deadline <= milliseconds{0} ||
      request.deadline > settings.max_deadline) {
    return MakeNotRunRefusal(
        RefusalKind::kInvalidRequest,
        "'deadline_ms' is " + std::to_string(request.deadline.count()) +
            "; use 1 to " + std::to_string(settings.max_deadline.count()));
  }
  return ValidateTasks(settings, request);
}

EntryChanges AdmitSubmission(const EntryBoard& board,
                             const Shared<SubmitRequest>& request,
                             const ReplyTo& reply_to, const Now& now) {
  const SubmissionId id = MakeSubmissionId(request->team, request->key);
  if (const Job* job = board.jobs.Find(id)) {
    return AttachToJob(board, *job, *request, reply_to);
  }
  if (IsRecoveredWithOtherBody(board, id, request->body_digest)) {
    return SendReply(board, reply_to, MakeKeyReusedRefusal());
  }
  if (const ClosedSubmission* closed = board.closed_submissions.Find(id)) {
    return AttachToClosedSubmission(board, *closed, reply_to);
  }
  if (const auto refusal = ValidateRequest(board.settings, *request)) {
    return SendReply(board, reply_to, *refusal);
  }
  if (const auto refusal = CheckKeyAge(board.settings, request->key, now)) {
    return SendReply(board, reply_to, *refusal);
  }
  std::optional<Refusal> refusal =
      CheckTeam(board.stored_config.config, request->team);
  if (!refusal) refusal = CheckQueueAndDeadline(board, *request, now);
  if (refusal) {
    // An earlier dispatcher may already have started tasks under this key, so
    // the refusal must not claim that nothing ran.
    if (!IsProvablyNotStarted(board, id, request->key, now) ||
        HasRecoveredTasks(board, id)) {
      refusal->not_run.reset();
      return SendReply(board, reply_to, *refusal);
    }
    return CloseSubmission(board, id, request->body_digest, *refusal, reply_to,
                           now);
  }

  EntryChanges changes;
  Job job = MakeJob(board, id, request, now);
  changes.Add(AdvanceArrivalSeq{});
  changes.Add(Count{Counter::kJobsAccepted});
  if (!IssueTimeFromKey(request->key)) {
    // Witnesses are asked only after the agents' ledgers have been read; asking
    // earlier would replace the records that the witnesses already hold.
    job.state = JobState::kWitnessing;
  }
  changes.Add(Put<Job>{job});
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    Task task;
    task.id = {id, n};
    task.state = TaskState::kUnresolved;
    changes.Add(Put<Task>{task});
  }
  changes.Add(Put<Waiter>{{id, reply_to}});
  return changes;
}

}  // namespace dottereltrack
