#include "core/entry/job_queue.h"

#include <algorithm>

namespace dottereltrack {
namespace {

// Each remaining task delays its job's rank by this time, up to the maximum. A
// job of 1,100 tasks thus lets small jobs go first but is not starved.
constexpr milliseconds kPenaltyPerTask{20};
constexpr milliseconds kMaxPenalty{2'000};

const TaskSpec& SpecOf(const Job& job, std::uint32_t index) {
  return job.body->tasks[index];
}

TaskRank TaskRankOf(const Job& job, std::uint32_t index) {
  return {-SpecOf(job, index).declared_time, index};
}

void Rerank(const Job& job, QueuedJob* queued, ClassQueue* queue) {
  const JobRank rank = JobRankOf(job, queued->tasks.size());
  if (rank == queued->rank) return;
  queue->order.erase(queued->rank);
  queue->order.insert(rank);
  queued->rank = rank;
}

}  // namespace

JobRank JobRankOf(const Job& job, std::size_t remaining) {
  const BootTime penalty = std::min<BootTime>(
      kPenaltyPerTask * static_cast<std::int64_t>(remaining), kMaxPenalty);
  return {job.accepted_at + penalty, job.arrival_seq, job.id};
}

void AddQueuedTask(const Job& job, std::uint32_t index, TeamQueues* queues) {
  const TaskSpec& spec = SpecOf(job, index);
  TeamQueue& team = (*queues)[job.team];
  ++team.task_count;
  team.declared += spec.declared_time;
  ClassQueue& queue = team.classes[{job.body->selector, spec.needs}];
  QueuedJob& queued = queue.jobs[job.id];
  queued.tasks.insert(TaskRankOf(job, index));
  Rerank(job, &queued, &queue);
}

void RemoveQueuedTask(const Job& job, std::uint32_t index, TeamQueues* queues) {
  const TaskSpec& spec = SpecOf(job, index);
  const auto team = queues->find(job.team);
  if (--team->second.task_count == 0) {
    queues->erase(team);
    return;
  }
  team->second.declared -= spec.declared_time;
  auto& classes = team->second.classes;
  const auto it = classes.find({job.body->selector, spec.needs});
  ClassQueue& queue = it->second;
  const auto queued = queue.jobs.find(job.id);
  queued->second.tasks.erase(TaskRankOf(job, index));
  if (!queued->second.tasks.empty()) {
    Rerank(job, &queued->second, &queue);
    return;
  }
  queue.order.erase(queued->second.rank);
  queue.jobs.erase(queued);
  if (queue.jobs.empty()) classes.erase(it);
}

}  // namespace dottereltrack
