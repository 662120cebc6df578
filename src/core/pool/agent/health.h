#pragma once

#include "core/pool/agent/changes.h"

namespace dottereltrack::pool {

// The minion's health after the end of a run, and a decision for the log if the
// minion was suspended.
struct HealthUpdate {
  MinionHealth health;
  std::optional<Decision> decision;
};

// Returns the logarithm of the minion's slowness as entries should see it: the
// average over ended runs, unless the progress of the runs at work shows that
// the speed has changed.
double CurrentLogSlowness(const AgentBoard& board);

// Updates the speed and the failure share of the minion after the end of a run.
HealthUpdate UpdateHealth(const AgentBoard& board, const MinionHealth& before,
                          const RunRow& run, RunEnd end, const Now& now);

// Records that the minion does not list a run although its start was sent long
// enough ago: it executes starts seconds late or not at all, while it seems to
// have free resources.
MinionHealth WithMissedStart(MinionHealth health, const Now& now);

// Whether a start was missed in the last seconds.
bool HasMissedStart(const MinionHealth& health, const Now& now);

}  // namespace dottereltrack::pool
