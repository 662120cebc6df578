#pragma once

#include "core/pool/agent/changes.h"

namespace dottereltrack::pool {

// Learns from the end of a run how fast and how reliable the minion is.
// Returns the health after it; the decision tells if the minion is suspended.
struct HealthNote {
  MinionHealth health;
  std::optional<Decision> decision;
};
HealthNote NoteEnd(const AgentBoard& board, const MinionHealth& before,
                   const RunRow& run, RunEnd end, const Now& now);

}  // namespace dottereltrack::pool
