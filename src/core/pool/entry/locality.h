#pragma once

#include <optional>
#include <string>

#include "core/pool/entry/board.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Placement of tasks near their data or near the rest of their step. A task
// takes `remote_factor` times as long on a minion that is not near.

// What is known when only a remote minion has room for a task.
struct RemoteStart {
  // Run time of the task on a near minion.
  milliseconds run_time{0};
  double remote_factor = 1;
  // Expected time until a near minion has room; empty if no near minion accepts
  // runs.
  std::optional<milliseconds> near_delay;
  // Time since the task could first have started.
  milliseconds waited{0};
  // Time until the job's goal; negative if it has passed.
  milliseconds time_left{0};
  friend bool operator==(const RemoteStart&, const RemoteStart&) = default;
};

// Time that a run on a near minion saves. A longer wait never pays.
milliseconds TimeSavedNear(const RemoteStart& start);

// Whether waiting for a near minion ends the task earlier than the remote start
// and before the goal. The whole wait is bounded by the time that it saves, so
// that an estimate that stays too low cannot hold a task back.
bool ShouldWaitForNear(const RemoteStart& start);

// A minion as its agent has announced it, seen from one task.
struct TaskView {
  // The minion has the required label, and the limit of tasks of the step on
  // one minion is not reached by runs that are at work, are being stopped or
  // may be lost.
  bool is_allowed = true;
  bool is_near = true;
};

TaskView ViewOf(const EntryBoard& board, const TaskRow& task,
                const AgentHello& hello, const std::string& near_rack,
                std::uint32_t starts_of_step);

// Whether some minion of the service that accepts runs has the labels that the
// job requires, or the job requires none.
bool HasRequiredMinions(const EntryBoard& board, const std::string& service,
                        const JobSpec& job);

// Returns the rack on which the task should run; empty if any will do. Tasks of
// a step that is to stay on one rack follow the first run of the step; before
// it, they take the rack with the most free processors.
std::string NearRackOf(const EntryBoard& board, const TaskRow& task);

// Estimates the time until a minion of the rack has room for the task: its own
// work and `work_ahead`, which waits for the rack before it, over this entry's
// part of the rack. Empty if no minion of the rack accepts runs.
std::optional<milliseconds> EstimateNearDelay(const EntryBoard& board,
                                              const TaskRow& task,
                                              const std::string& service,
                                              const std::string& rack,
                                              double work_ahead);

}  // namespace dottereltrack::pool
