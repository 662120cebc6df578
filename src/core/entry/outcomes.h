#pragma once

#include <utility>
#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack {

// An outcome for a task that has none yet.
struct TaskDecision {
  TaskId id;
  TaskOutcome outcome;
};

// Gives each task its outcome. Tasks that already have one keep it. When a task
// of a job ends as anything but done, the job's queued tasks become not_run.
EntryChanges FinishTasks(const EntryBoard& board,
                         const std::vector<TaskDecision>& decisions);

// Ends every job all of whose tasks have an outcome. A job with a task that did
// not run is first closed at witnesses.
EntryChanges EndDecidedJobs(const EntryBoard& board, const Now& now);

// Makes the job final and answers everyone who waits for it.
EntryChanges EndJob(const EntryBoard& board, const Job& job, const Now& now);

// Reports the tasks of the job that did not run as unknown, because no witness
// has recorded that the submission is closed.
EntryChanges ForgetUnrecordedProofs(const EntryBoard& board, const Job& job);

// Takes one result of an agent. A result that no sent task of that agent waits
// for is dropped and counted.
EntryChanges HandleResult(const EntryBoard& board, const AgentRow& agent,
                          const TaskResult& result);

// Takes the refusal of a start: the task is queued again, or ends as not_run
// when it has used up its retries.
EntryChanges HandleRefusedStart(const EntryBoard& board, const AgentRow& agent,
                                const TaskRefused& refusal);

// The outcome that a finished ledger state stands for.
TaskOutcome OutcomeOf(LedgerState state, const Bytes& output);

}  // namespace dottereltrack
