#include "core/pool/entry/past_jobs.h"

namespace dottereltrack::pool {

std::optional<ReplyKind> FindReplyToPastJob(const EntryBoard& board,
                                            std::uint64_t job) {
  const PastJob* past = board.past_jobs.Find(job);
  if (past == nullptr) return std::nullopt;
  switch (past->end) {
    case JobEnd::kCompleted:
      return ReplyKind::kCompleted;
    case JobEnd::kFailed:
      return ReplyKind::kFailed;
    case JobEnd::kCancelled:
      return ReplyKind::kCancelled;
    case JobEnd::kGivenUp:
      break;
  }
  return std::nullopt;
}

bool MayHaveRunBefore(const EntryBoard& board, std::uint64_t job) {
  const PastJob* past = board.past_jobs.Find(job);
  return past != nullptr && past->end == JobEnd::kGivenUp;
}

void RecordCancelled(const EntryBoard& board, std::uint64_t job, const Now& now,
                     EntryChanges* changes) {
  const PastJob* past = board.past_jobs.Find(job);
  if (past != nullptr && past->end != JobEnd::kGivenUp) return;
  changes->Add(Put<PastJob>{{job, JobEnd::kCancelled, now.boot}});
}

EntryChanges ForgetPastJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const EntrySettings& settings = board.settings;
  std::size_t count = board.past_jobs.size();
  for (const auto& [ended_at, id] : board.past_jobs_by_age) {
    const bool is_old = now.boot >= ended_at + settings.past_job_retention;
    if (!is_old && count <= settings.max_past_jobs) break;
    changes.Add(Erase<PastJob>{id});
    --count;
  }
  return changes;
}

}  // namespace dottereltrack::pool
