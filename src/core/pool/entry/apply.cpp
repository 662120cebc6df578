#include <algorithm>
#include <iterator>

#include "core/pool/entry/accepted_memory.h"
#include "core/pool/entry/backlog.h"
#include "core/pool/entry/changes.h"

namespace dottereltrack::pool {
namespace {

// Adds the memory of a job to the sums, or subtracts it.
void CountMemory(EntryBoard* board, const JobRow& job, bool is_added) {
  AcceptedMemory& accepted = board->accepted;
  const std::size_t bytes = job.memory_bytes;
  accepted.bytes = is_added ? accepted.bytes + bytes : accepted.bytes - bytes;
  if (job.state != JobState::kActive) return;
  std::size_t& used = accepted.by_source[job.source];
  used = is_added ? used + bytes : used - bytes;
  if (used == 0) accepted.by_source.erase(job.source);
}

// Adds the job to the pending ones of its queue, or subtracts it.
void CountPending(EntryBoard* board, const JobRow& job, bool is_added) {
  if (job.state != JobState::kActive || job.may_have_started) return;
  std::size_t& pending = board->pending_by_queue[job.queue];
  pending = is_added ? pending + 1 : pending - 1;
  if (pending == 0) board->pending_by_queue.erase(job.queue);
}

// Replaces the calls that wait for a job. Looks only at those that differ,
// since a job may have thousands and get or lose one at a time.
void ReplaceCalls(EntryBoard* board, std::uint64_t job,
                  const std::vector<CallId>& calls) {
  const std::vector<CallId> none;
  const JobRow* known = board->jobs.Find(job);
  const std::vector<CallId>& old = known == nullptr ? none : known->waiters;
  auto [first_old, first_new] =
      std::mismatch(old.begin(), old.end(), calls.begin(), calls.end());
  auto last_old = old.end();
  auto last_new = calls.end();
  while (last_old != first_old && last_new != first_new &&
         *std::prev(last_old) == *std::prev(last_new)) {
    --last_old;
    --last_new;
  }
  for (; first_old != last_old; ++first_old) {
    board->job_by_call.erase(*first_old);
  }
  for (; first_new != last_new; ++first_new) {
    board->job_by_call.insert_or_assign(*first_new, job);
  }
}

// Adds the memory of a held submission to the sums, or subtracts it.
void CountMemory(EntryBoard* board, const JobSubmitted& held, bool is_added) {
  JobRow job;
  job.source = held.source;
  job.memory_bytes = MemoryOf(held.job);
  CountMemory(board, job, is_added);
}

void RemoveSubmission(EntryBoard* board, const PendingSubmission::Id& id) {
  const PendingSubmission* held = board->pending_submissions.Find(id);
  if (held == nullptr) return;
  CountMemory(board, held->submission, false);
  board->job_by_call.erase(id.call);
}

void RemoveFromIndexes(EntryBoard* board, std::uint64_t id) {
  const JobRow* job = board->jobs.Find(id);
  if (job == nullptr) return;
  CountMemory(board, *job, false);
  CountPending(board, *job, false);
  board->active_jobs.erase(id);
  board->active_jobs_by_digest.erase({DigestOf(id), id});
  board->ended_jobs_by_age.erase({job->ended_at, id});
}

void AddToIndexes(EntryBoard* board, const JobRow& job) {
  CountMemory(board, job, true);
  CountPending(board, job, true);
  if (job.state == JobState::kActive) {
    board->active_jobs.insert(job.id);
    board->active_jobs_by_digest.emplace(DigestOf(job.id), job.id);
  } else {
    board->ended_jobs_by_age.emplace(job.ended_at, job.id);
  }
}

void UpdateMembership(std::set<TaskKey>* set, const TaskKey& key,
                      bool is_member) {
  if (is_member) {
    set->insert(key);
  } else {
    set->erase(key);
  }
}

void RemoveFromWaiting(EntryBoard* board, const TaskKey& key) {
  if (board->waiting_tasks.erase(key) == 0) return;
  auto& needs = board->waiting_cpu_millis;
  const std::int64_t cpu_millis = board->tasks.Find(key)->needs.cpu_millis;
  needs.erase(needs.find(cpu_millis));
}

void RemoveTaskMemory(EntryBoard* board, const TaskKey& key) {
  const TaskRow* task = board->tasks.Find(key);
  if (task != nullptr) board->accepted.bytes -= MemoryOf(*task);
}

void AddWork(EntryBoard* board, const UnstartedTasks& tasks) {
  if (tasks.IsBlocked()) return;
  UnstartedWork& sum = board->unstarted_work[tasks.service];
  const double work = WorkOf(tasks);
  ++sum.rows;
  sum.total += work;
  if (tasks.latest_start < board->late_before) return;
  sum.on_time += work;
  UnstartedWork::Part& part = sum.on_time_by_start[tasks.latest_start];
  ++part.rows;
  part.work += work;
}

void SubtractWork(EntryBoard* board, const UnstartedTasks& tasks) {
  if (tasks.IsBlocked()) return;
  const auto found = board->unstarted_work.find(tasks.service);
  UnstartedWork& sum = found->second;
  if (--sum.rows == 0) {
    // Removes what rounding has left in the sums, too.
    board->unstarted_work.erase(found);
    return;
  }
  const double work = WorkOf(tasks);
  sum.total -= work;
  if (tasks.latest_start < board->late_before) return;
  sum.on_time -= work;
  const auto part = sum.on_time_by_start.find(tasks.latest_start);
  part->second.work -= work;
  if (--part->second.rows == 0) sum.on_time_by_start.erase(part);
}

void CountLateWork(EntryBoard* board, BootTime late_before) {
  for (auto& [service, sum] : board->unstarted_work) {
    auto& parts = sum.on_time_by_start;
    while (!parts.empty() && parts.begin()->first < late_before) {
      sum.on_time -= parts.begin()->second.work;
      parts.erase(parts.begin());
    }
    if (parts.empty()) sum.on_time = 0;
  }
  // A row is counted by the same time when it is added and when it is removed.
  board->late_before = std::max(board->late_before, late_before);
}

void RemoveUnstarted(EntryBoard* board, const TaskKey& first) {
  const UnstartedTasks* tasks = board->unstarted_tasks.Find(first);
  if (tasks == nullptr) return;
  auto& needs = board->waiting_cpu_millis;
  needs.erase(needs.find(tasks->needs.cpu_millis));
  board->unstarted_count -= tasks->count;
  board->blocked_tasks.erase(first);
  SubtractWork(board, *tasks);
}

// Adds `n` to the counts of a crash's suspects.
void AddToCrashCounts(EntryBoard* board, const CrashSuspects& suspects, int n) {
  auto& counts = board->crash_counts;
  for (const TaskKey& task : suspects.certain) counts[task].certain += n;
  for (const TaskKey& task : suspects.possible) counts[task].possible += n;
  if (n > 0) return;
  std::erase_if(counts, [](const auto& it) { return it.second.Total() == 0; });
}

void RemoveFromCrashCounts(EntryBoard* board, const MinionInstance& minion) {
  const MinionCrash* crash = board->crashes.Find(minion);
  if (crash != nullptr) AddToCrashCounts(board, crash->suspects, -1);
}

void RemoveFromPastJobIndex(EntryBoard* board, std::uint64_t id) {
  const PastJob* past = board->past_jobs.Find(id);
  if (past != nullptr) board->past_jobs_by_age.erase({past->ended_at, id});
}

struct Applier {
  EntryBoard* board;

  void operator()(const Put<JobRow>& it) const {
    ReplaceCalls(board, it.row.id, it.row.waiters);
    RemoveFromIndexes(board, it.row.id);
    AddToIndexes(board, it.row);
    board->jobs.Put(it.row);
  }
  void operator()(const Erase<JobRow>& it) const {
    ReplaceCalls(board, it.key, {});
    RemoveFromIndexes(board, it.key);
    board->jobs.Erase(it.key);
  }
  void operator()(const Put<TaskRow>& it) const {
    const TaskState state = it.row.state;
    RemoveFromWaiting(board, it.row.key);
    if (state == TaskState::kWaiting) {
      board->waiting_tasks.insert(it.row.key);
      board->waiting_cpu_millis.insert(it.row.needs.cpu_millis);
    }
    UpdateMembership(&board->lost_tasks, it.row.key, state == TaskState::kLost);
    UpdateMembership(&board->placed_tasks, it.row.key,
                     state == TaskState::kPlaced);
    RemoveTaskMemory(board, it.row.key);
    board->accepted.bytes += MemoryOf(it.row);
    board->tasks.Put(it.row);
  }
  void operator()(const Erase<TaskRow>& it) const {
    RemoveFromWaiting(board, it.key);
    board->lost_tasks.erase(it.key);
    board->placed_tasks.erase(it.key);
    RemoveTaskMemory(board, it.key);
    board->tasks.Erase(it.key);
  }
  void operator()(const Put<UnstartedTasks>& it) const {
    RemoveUnstarted(board, it.row.first);
    board->waiting_cpu_millis.insert(it.row.needs.cpu_millis);
    board->unstarted_count += it.row.count;
    if (it.row.IsBlocked()) board->blocked_tasks.insert(it.row.first);
    AddWork(board, it.row);
    board->unstarted_tasks.Put(it.row);
  }
  void operator()(const Erase<UnstartedTasks>& it) const {
    RemoveUnstarted(board, it.key);
    board->unstarted_tasks.Erase(it.key);
  }
  void operator()(const Put<AgentRow>& it) const { board->agents.Put(it.row); }
  void operator()(const Erase<AgentRow>& it) const {
    board->agents.Erase(it.key);
  }
  void operator()(const Put<LinkRow>& it) const { board->links.Put(it.row); }
  void operator()(const Erase<LinkRow>& it) const {
    board->links.Erase(it.key);
  }
  void operator()(const Put<KnownEntry>& it) const { board->peers.Put(it.row); }
  void operator()(const Erase<KnownEntry>& it) const {
    board->peers.Erase(it.key);
  }
  void operator()(const Put<MinionCrash>& it) const {
    RemoveFromCrashCounts(board, it.row.minion);
    AddToCrashCounts(board, it.row.suspects, 1);
    board->crashes.Put(it.row);
  }
  void operator()(const Erase<MinionCrash>& it) const {
    RemoveFromCrashCounts(board, it.key);
    board->crashes.Erase(it.key);
  }
  void operator()(const Put<OfferRow>& it) const { board->offers.Put(it.row); }
  void operator()(const Erase<OfferRow>& it) const {
    board->offers.Erase(it.key);
  }
  void operator()(const Put<DemandRow>& it) const {
    board->demands.Put(it.row);
  }
  void operator()(const Erase<DemandRow>& it) const {
    board->demands.Erase(it.key);
  }
  void operator()(const Put<ForwardedCall>& it) const {
    board->forwarded_calls.Put(it.row);
    board->next_forwarded_call =
        std::max(board->next_forwarded_call, it.row.call.value + 1);
  }
  void operator()(const Erase<ForwardedCall>& it) const {
    board->forwarded_calls.Erase(it.key);
  }
  void operator()(const SetLateBefore& it) const {
    CountLateWork(board, it.time);
  }
  void operator()(const SetOverload& it) const { board->overload = it.state; }
  void operator()(const Put<PastJob>& it) const {
    RemoveFromPastJobIndex(board, it.row.id);
    board->past_jobs_by_age.emplace(it.row.ended_at, it.row.id);
    board->past_jobs.Put(it.row);
  }
  void operator()(const Erase<PastJob>& it) const {
    RemoveFromPastJobIndex(board, it.key);
    board->past_jobs.Erase(it.key);
  }
  void operator()(const Put<PendingCancel>& it) const {
    board->pending_cancels.Put(it.row);
  }
  void operator()(const Erase<PendingCancel>& it) const {
    board->pending_cancels.Erase(it.key);
  }
  void operator()(const Put<PeerJobs>& it) const {
    board->peer_jobs.Put(it.row);
  }
  void operator()(const Erase<PeerJobs>& it) const {
    board->peer_jobs.Erase(it.key);
  }
  void operator()(const Put<PendingSubmission>& it) const {
    RemoveSubmission(board, it.row.Key());
    CountMemory(board, it.row.submission, true);
    board->job_by_call.insert_or_assign(it.row.submission.call,
                                        it.row.submission.job.id);
    board->pending_submissions.Put(it.row);
  }
  void operator()(const Erase<PendingSubmission>& it) const {
    RemoveSubmission(board, it.key);
    board->pending_submissions.Erase(it.key);
  }
  void operator()(const AddAcceptedJob& it) const {
    board->accepted_jobs.unannounced.push_back(it.digest);
  }
  void operator()(const SetAcceptedJobs& it) const {
    board->accepted_jobs = it.log;
  }
  void operator()(const SetAnnouncementDue&) const {
    board->accepted_jobs.is_due = true;
  }
  void operator()(const SetPausedUntil& it) const {
    board->paused_until = it.time;
  }
  void operator()(const SetConfig& it) const {
    board->config = it.config;
    board->config_text = it.text;
  }
  void operator()(const SetEvacuations& it) const {
    board->evacuations = it.evacuations;
  }
  void operator()(const Put<ConfigPeer>& it) const {
    board->config_peers.Put(it.row);
  }
  void operator()(const Erase<ConfigPeer>& it) const {
    board->config_peers.Erase(it.key);
  }
  void operator()(const SetConfigFetch& it) const {
    board->config_fetch = it.fetch;
  }
  void operator()(const SetConfigUpload& it) const {
    board->config_upload_ends_at = it.ends_at;
  }
  void operator()(const SetEntryStopping& it) const {
    board->stopping = true;
    board->stopping_since = it.since;
  }
};

}  // namespace

std::vector<EntryEffect> Apply(EntryBoard* board, EntryChanges changes) {
  return std::move(changes).ApplyTo([&](const EntryRowChange& change) {
    std::visit(Applier{board}, change);
  });
}

}  // namespace dottereltrack::pool
