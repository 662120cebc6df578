#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/entry/board.h"

namespace dottereltrack {

// What the chosen placements of this round would take from each agent, on top
// of the board's usage.
using PlannedUsage = std::map<AgentId, Usage>;

// A minion that could run tasks of one class and kind.
struct Candidate {
  const AgentRow* agent = nullptr;
  // Expected run time over declared time.
  double time_ratio = 1.0;
  BootTime round_trip{0};
  friend bool operator==(const Candidate&, const Candidate&) = default;
};

// When a task of that declared time would end on the candidate, from now on.
BootTime ExpectedTime(const Candidate& candidate, milliseconds declared);

// Usable minions with a free slot, not draining and not ejected.
std::vector<const AgentRow*> AgentsWithRoom(const EntryBoard& board,
                                            const Now& now);

// Those of the agents that may run the class, best first.
std::vector<Candidate> CandidatesFor(const EntryBoard& board,
                                     const WorkClass& work,
                                     const std::string& kind,
                                     const std::vector<const AgentRow*>& agents,
                                     const Now& now);

}  // namespace dottereltrack
