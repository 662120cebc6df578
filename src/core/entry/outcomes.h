#pragma once

#include <utility>
#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// The outcome to record for a task.
struct TaskDecision {
  TaskId id;
  TaskOutcome outcome;
};

// Records the outcome of each task. A task that already has an outcome keeps
// it. If a task of a job ends in any way other than done, the job's queued
// tasks end as not_run.
EntryChanges FinishTasks(const EntryBoard& board,
                         const std::vector<TaskDecision>& decisions);

// Ends every job whose tasks all have an outcome. A failed job with tasks that
// did not run or are unknown is first recorded as closed by witnesses.
EntryChanges EndDecidedJobs(const EntryBoard& board, const Now& now);

// Makes the job final and replies to all requests that wait for its answer.
EntryChanges EndJob(const EntryBoard& board, const Job& job, const Now& now);

// Changes the outcome of the job's not_run tasks to unknown, because no witness
// could record that the submission is closed.
EntryChanges ReportUnrecordedNotRunAsUnknown(const EntryBoard& board,
                                             const Job& job);

// Handles a task result from an agent. The result is dropped and counted unless
// the task is currently sent to that agent, or was started by an earlier
// dispatcher and its record is held by that agent.
EntryChanges HandleResult(const EntryBoard& board, const AgentRow& agent,
                          const TaskResult& result);

// Handles the refusal of a start: queues the task again, or ends it as not_run
// if it has used up its retries or its job has failed or been cancelled.
EntryChanges HandleRefusedStart(const EntryBoard& board, const AgentRow& agent,
                                const TaskRefused& refusal);

// Converts the final state of a ledger entry to a task outcome.
TaskOutcome OutcomeOf(LedgerState state, const Bytes& output);

}  // namespace dottereltrack
