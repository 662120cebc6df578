#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/outcome.h"
#include "core/shared.h"
#include "core/time.h"

namespace dottereltrack {

// Resources of a minion that a task occupies while it runs, besides one slot.
struct Needs {
  std::uint64_t memory_bytes = 0;
  std::uint32_t accelerators = 0;
  friend auto operator<=>(const Needs&, const Needs&) = default;
};

// One task as the caller describes it.
struct TaskSpec {
  Bytes payload;
  // Run time declared by the caller for a minion of speed 1; often inaccurate.
  milliseconds declared_time{200};
  Needs needs;
  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

// Restricts where tasks may run: each named label of the minion must have one
// of the listed values. An empty selector matches every minion.
struct Selector {
  std::map<std::string, std::vector<std::string>> allowed;
  friend auto operator<=>(const Selector&, const Selector&) = default;
};

// A job as a caller submits it.
struct SubmitRequest {
  std::string team;
  std::string key;
  // Kind of work; run times are learned per kind and minion.
  std::string kind;
  Selector selector;
  // Time from acceptance until the job must be answered.
  milliseconds deadline{60'000};
  std::vector<TaskSpec> tasks;
  // Digest of the body as received. Distinguishes a resubmission from the reuse
  // of a key for another body.
  std::uint64_t body_digest = 0;
  friend bool operator==(const SubmitRequest&, const SubmitRequest&) = default;
};

// State of a task at the dispatcher. A task with an outcome is kFinal.
// kUnresolved: an earlier dispatcher may have started the task, and the agents'
// inventories have not been checked yet, so nothing can be proved about it.
enum class TaskState { kUnresolved, kQueued, kSent, kFinal };

// One task of a job that the dispatcher has accepted.
struct Task {
  TaskId id;
  TaskState state = TaskState::kQueued;
  // Agent and fence of the newest start; valid once the task has been sent.
  AgentId agent;
  Fence fence;
  std::uint64_t start_seq = 0;
  // The agent whose ledger holds the record of this task.
  AgentId holder;
  BootTime sent_at{0};
  // When the run of the newest start is expected to end.
  BootTime expected_end{0};
  // Number of starts that are proved not to have happened.
  std::uint32_t refused_starts = 0;
  std::optional<TaskOutcome> outcome;

  const TaskId& Key() const { return id; }
  friend bool operator==(const Task&, const Task&) = default;
};

// kWitnessing: waits for the acknowledgements of the witnesses of an opaque
// key.
// kClosing: the outcome is decided, but not reported until witnesses have
// recorded that the submission is closed.
enum class JobState { kWitnessing, kOpen, kClosing, kComplete, kFailed };

// A submission that the dispatcher has accepted.
struct Job {
  SubmissionId id;
  std::string team;
  std::uint64_t body_digest = 0;
  std::uint32_t task_count = 0;
  JobState state = JobState::kOpen;
  // Order of acceptance at this dispatcher.
  std::uint64_t arrival_seq = 0;
  BootTime accepted_at{0};
  BootTime deadline_at{0};
  BootTime finished_at{0};
  // The submitted request; cleared when the job has been answered.
  Shared<SubmitRequest> body;
  // Estimate of the memory of the body and of the tasks while the job is open.
  std::size_t memory_bytes = 0;
  std::uint32_t final_tasks = 0;
  std::uint32_t unsuccessful_tasks = 0;
  // A caller has cancelled the job. Tasks that have not started never will.
  bool cancelled = false;
  // An earlier dispatcher has answered that the job failed.
  bool closed_by_earlier_dispatcher = false;
  // Stable error code of a failed job; empty for a complete one.
  std::string failure;

  const SubmissionId& Key() const { return id; }
  friend bool operator==(const Job&, const Job&) = default;
};

// The final answer to a submission. It is created once and never changes.
struct Answer {
  SubmissionId id;
  bool complete = false;
  std::string failure;
  std::vector<TaskOutcome> outcomes;
  friend bool operator==(const Answer&, const Answer&) = default;
};

}  // namespace dottereltrack
