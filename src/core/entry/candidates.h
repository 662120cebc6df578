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

// An agent with a free slot, and the slots that may be in use at once.
struct OpenAgent {
  const AgentRow* agent = nullptr;
  std::uint32_t slots = 0;
  friend bool operator==(const OpenAgent&, const OpenAgent&) = default;
};

// A minion that could run tasks of one class and kind.
struct Candidate {
  const AgentRow* agent = nullptr;
  std::uint32_t slots = 0;
  // Expected run time over declared time.
  double time_ratio = 1.0;
  BootTime round_trip{0};
  friend bool operator==(const Candidate&, const Candidate&) = default;
};

// When a task of that declared time would end on the candidate, from now on.
BootTime ExpectedTime(const Candidate& candidate, milliseconds declared);

// Usable agents with a free slot whose minions are neither draining nor
// ejected.
std::vector<OpenAgent> OpenAgents(const EntryBoard& board, const Now& now);

// Those of the agents that may run the class, best first.
std::vector<Candidate> CandidatesFor(const EntryBoard& board,
                                     const WorkClass& work,
                                     const std::string& kind,
                                     const std::vector<OpenAgent>& agents,
                                     const Now& now);

}  // namespace dottereltrack
