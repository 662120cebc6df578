#include "core/pool/entry/unstarted_tasks.h"

#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace dottereltrack::pool {
namespace {

// Returns the unstarted tasks that include this one; null if none do.
const UnstartedTasks* FindRangeWith(const EntryBoard& board,
                                    const TaskKey& key) {
  auto it = board.unstarted_tasks.UpperBound(key);
  if (it == board.unstarted_tasks.begin()) return nullptr;
  const UnstartedTasks& tasks = std::prev(it)->second;
  const bool is_same_step =
      tasks.first.job == key.job && tasks.first.step == key.step;
  if (!is_same_step || key.index - tasks.first.index >= tasks.count) {
    return nullptr;
  }
  return &tasks;
}

// Returns `count` of these tasks from the index on.
UnstartedTasks PartOf(const UnstartedTasks& tasks, std::uint32_t index,
                      std::uint32_t count) {
  UnstartedTasks part = tasks;
  part.first.index = index;
  part.count = count;
  return part;
}

// Replaces the tasks by rows of the given ones, in ascending order, and ranges
// of those between them.
void Separate(const UnstartedTasks& tasks, const std::vector<TaskKey>& keys,
              EntryChanges* changes) {
  changes->Add(Erase<UnstartedTasks>{tasks.first});
  std::uint32_t index = tasks.first.index;
  const std::uint32_t end = index + tasks.count;
  for (const TaskKey& key : keys) {
    if (key.index > index) {
      changes->Add(
          Put<UnstartedTasks>{PartOf(tasks, index, key.index - index)});
    }
    changes->Add(
        Put<TaskRow>{MakeTaskRow(tasks, key.index - tasks.first.index)});
    index = key.index + 1;
  }
  if (index < end) {
    changes->Add(Put<UnstartedTasks>{PartOf(tasks, index, end - index)});
  }
}

}  // namespace

UnstartedTasks MakeUnstartedTasks(const JobRow& job, std::uint32_t step,
                                  std::uint32_t index, std::uint32_t count,
                                  const StepSpec& spec) {
  UnstartedTasks tasks;
  tasks.first = {job.id, step, index};
  tasks.count = count;
  tasks.needs = spec.needs;
  tasks.estimate = spec.estimate;
  tasks.rules = spec.rules;
  tasks.service = job.service;
  tasks.latest_start = job.goal_at - spec.estimate;
  return tasks;
}

void ReleaseBlockedTasks(const EntryBoard& board, const Now& now,
                         EntryChanges* changes) {
  for (const TaskKey& first : board.blocked_tasks) {
    const UnstartedTasks& blocked = *board.unstarted_tasks.Find(first);
    if (now.boot < blocked.blocked_until) continue;
    const JobRow* job = board.jobs.Find(first.job);
    if (job == nullptr || job->state != JobState::kActive) {
      changes->Add(Erase<UnstartedTasks>{first});
      continue;
    }
    // The job may have been submitted again, to another queue.
    UnstartedTasks tasks = blocked;
    tasks.service = job->service;
    tasks.latest_start = job->goal_at - tasks.estimate;
    tasks.blocked_until = BootTime{0};
    changes->Add(Put<UnstartedTasks>{std::move(tasks)});
  }
}

TaskRow MakeTaskRow(const UnstartedTasks& tasks, std::uint32_t n) {
  TaskRow task;
  task.key = tasks.first;
  task.key.index += n;
  task.needs = tasks.needs;
  task.estimate = tasks.estimate;
  task.rules = tasks.rules;
  return task;
}

void RemoveFirst(const UnstartedTasks& tasks, std::uint32_t n,
                 EntryChanges* changes) {
  changes->Add(Erase<UnstartedTasks>{tasks.first});
  if (n >= tasks.count) return;
  changes->Add(Put<UnstartedTasks>{
      PartOf(tasks, tasks.first.index + n, tasks.count - n)});
}

void EraseUnstartedTasks(const EntryBoard& board, std::uint64_t job,
                         EntryChanges* changes) {
  const auto [begin, end] = UnstartedTasksOf(board, job);
  for (auto it = begin; it != end; ++it) {
    changes->Add(Erase<UnstartedTasks>{it->first});
  }
}

std::size_t CountWaitingTasks(const EntryBoard& board) {
  return board.waiting_tasks.size() + board.unstarted_count;
}

bool HasWaitingTasks(const EntryBoard& board) {
  return !board.waiting_tasks.empty() || !board.unstarted_tasks.empty();
}

std::set<std::uint64_t> JobsWithWaitingTasks(const EntryBoard& board) {
  std::set<std::uint64_t> jobs;
  for (const TaskKey& key : board.waiting_tasks) jobs.insert(key.job);
  for (const auto& [first, tasks] : board.unstarted_tasks) {
    jobs.insert(first.job);
  }
  return jobs;
}

EntryChanges SeparateSuspects(const EntryBoard& board) {
  EntryChanges changes;
  if (board.unstarted_tasks.empty()) return changes;
  std::map<TaskKey, std::vector<TaskKey>> suspects;
  for (const auto& [key, crashes] : board.crash_counts) {
    const UnstartedTasks* tasks = FindRangeWith(board, key);
    // A row would count as one that may be started.
    if (tasks == nullptr || tasks->IsBlocked()) continue;
    suspects[tasks->first].push_back(key);
  }
  for (const auto& [first, keys] : suspects) {
    Separate(*board.unstarted_tasks.Find(first), keys, &changes);
  }
  return changes;
}

}  // namespace dottereltrack::pool
