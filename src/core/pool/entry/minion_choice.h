#pragma once

#include "core/pool/task.h"
#include "core/time.h"

namespace dottereltrack::pool {

// A minion on which a task may be started, as its agent last reported it.
struct MinionOption {
  Resources free;
  // Share of the minion's processors that is in use.
  double used_share = 0;
  // Ratio of run time to estimate.
  double slowness = 1;
  // The minion has a run of a suspect task, or a start of one is on its way.
  bool has_suspect = false;
  // The minion has lately missed some starts.
  bool misses_starts = false;
  // The agent has been silent for longer than an idle link is, so that it may
  // have been lost with its runs.
  bool is_silent = false;
  // The task must not run here: a required label is missing, or too many tasks
  // of its step run here.
  bool is_forbidden = false;
  // How many times as long the task takes here because it is away from its data
  // or from the rest of its step.
  double remote_factor = 1;
  // A run of the task has failed on this minion.
  bool has_failed_task = false;
  friend bool operator==(const MinionOption&, const MinionOption&) = default;
};

// A task that waits for a minion.
struct StartDemand {
  Resources needs;
  bool is_suspect = false;
  // Minions that are slower than this would miss the goal; infinite for a task
  // that is late, and if no minion is fast enough.
  double max_slowness = 0;
  // The same if the start is lost and the task is started again elsewhere.
  // Minions that are slower are ruled out if they are silent, and are the last
  // choice if they miss starts.
  double max_slowness_after_loss = 0;
  friend bool operator==(const StartDemand&, const StartDemand&) = default;
};

// Cost of starting the task on the minion; the lowest is the best. Infinite if
// the task must not start there.
double CostOfStart(const StartDemand& task, const MinionOption& minion);

}  // namespace dottereltrack::pool
