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

// What decides where a task may run. Tasks of one class can replace each other
// on a minion, so that a class without a free minion is passed over at once.
struct WorkClass {
  Selector selector;
  Needs needs;
  friend auto operator<=>(const WorkClass&, const WorkClass&) = default;
};

// Position of a job in the queue of its team and class; earlier is better.
struct JobRank {
  // Time of acceptance, plus a bounded penalty for the tasks that remain.
  BootTime due{0};
  std::uint64_t arrival_seq = 0;
  SubmissionId id;
  friend auto operator<=>(const JobRank&, const JobRank&) = default;
};

// Position of a task within its job: the longest declared time comes first.
struct TaskRank {
  milliseconds negative_declared{0};
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskRank&, const TaskRank&) = default;
};

// The queued tasks of one job that have the same class.
struct QueuedJob {
  JobRank rank;
  std::set<TaskRank> tasks;
  friend bool operator==(const QueuedJob&, const QueuedJob&) = default;
};

// Queued jobs of one team and one class.
struct ClassQueue {
  std::set<JobRank> order;
  std::map<SubmissionId, QueuedJob> jobs;
  friend bool operator==(const ClassQueue&, const ClassQueue&) = default;
};

// All queued tasks of one team.
struct TeamQueue {
  std::map<WorkClass, ClassQueue> classes;
  std::size_t tasks = 0;
  // Sum of their declared times.
  milliseconds declared{0};
  friend bool operator==(const TeamQueue&, const TeamQueue&) = default;
};

using TeamQueues = std::map<std::string, TeamQueue>;

// The rank of a job with that many queued tasks.
JobRank RankOf(const Job& job, std::size_t remaining);

// Adds a queued task of the job to the index, or removes one that is in it.
void AddQueuedTask(const Job& job, std::uint32_t index, TeamQueues* queues);
void RemoveQueuedTask(const Job& job, std::uint32_t index, TeamQueues* queues);

}  // namespace dottereltrack
