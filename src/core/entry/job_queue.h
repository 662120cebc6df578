#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/ids.h"
#include "core/job.h"
#include "core/time.h"

namespace dottereltrack {

// The properties that determine where a task may run. Tasks of the same class
// are interchangeable for placement, so a class without a free minion is
// skipped as a whole.
struct WorkClass {
  Selector selector;
  Needs needs;
  friend auto operator<=>(const WorkClass&, const WorkClass&) = default;
};

// Sort key of a job in the queue of its team and class; smaller ranks come
// first.
struct JobRank {
  // Acceptance time plus a bounded penalty that grows with the number of
  // remaining tasks.
  BootTime effective_arrival{0};
  std::uint64_t arrival_seq = 0;
  SubmissionId id;
  friend auto operator<=>(const JobRank&, const JobRank&) = default;
};

// Sort key of a task within its job; the longest declared time comes first.
struct TaskRank {
  milliseconds negative_declared{0};
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskRank&, const TaskRank&) = default;
};

// The queued tasks of one job that belong to the same class.
struct QueuedJob {
  JobRank rank;
  std::set<TaskRank> tasks;
  friend bool operator==(const QueuedJob&, const QueuedJob&) = default;
};

// The queued jobs of one team and one class.
struct ClassQueue {
  std::set<JobRank> order;
  std::map<SubmissionId, QueuedJob> jobs;
  friend bool operator==(const ClassQueue&, const ClassQueue&) = default;
};

// All queued tasks of one team.
struct TeamQueue {
  std::map<WorkClass, ClassQueue> classes;
  std::size_t task_count = 0;
  // Sum of the declared run times of the queued tasks.
  milliseconds declared{0};
  friend bool operator==(const TeamQueue&, const TeamQueue&) = default;
};

using TeamQueues = std::map<std::string, TeamQueue>;

// Returns the rank of a job with `remaining` queued tasks.
JobRank JobRankOf(const Job& job, std::size_t remaining);

// Add a queued task of the job to the index, or remove one. The task to remove
// must be in the index.
void AddQueuedTask(const Job& job, std::uint32_t index, TeamQueues* queues);
void RemoveQueuedTask(const Job& job, std::uint32_t index, TeamQueues* queues);

}  // namespace dottereltrack
