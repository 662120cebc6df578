#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/entry/board.h"

namespace dottereltrack {

// An agent that may receive starts, and the number of its slots that may be in
// use at once.
struct OpenAgent {
  const AgentRow* agent = nullptr;
  std::uint32_t slots = 0;
  friend bool operator==(const OpenAgent&, const OpenAgent&) = default;
};

// An agent whose minion can run tasks of a given class and kind.
struct Candidate {
  const AgentRow* agent = nullptr;
  std::uint32_t slots = 0;
  // Ratio of expected run time to declared run time.
  double time_ratio = 1.0;
  BootTime round_trip{0};
  friend bool operator==(const Candidate&, const Candidate&) = default;
};

// Returns the expected time from now until a task with the given declared run
// time ends on the candidate, including the round trip.
BootTime ExpectedTime(const Candidate& candidate, milliseconds declared);

// Returns the agents that have a free slot, may receive work, and whose minions
// are neither draining nor ejected.
std::vector<OpenAgent> OpenAgents(const EntryBoard& board, const Now& now);

// Returns the agents that may receive work and whose minions are neither
// draining nor ejected, whether or not they have a free slot.
std::vector<OpenAgent> WorkingAgents(const EntryBoard& board, const Now& now);

// Returns the agents whose minions can run tasks of the class, ordered by
// expected time, fastest first.
std::vector<Candidate> CandidatesFor(const EntryBoard& board,
                                     const WorkClass& work,
                                     const std::string& kind,
                                     const std::vector<OpenAgent>& agents,
                                     const Now& now);

}  // namespace dottereltrack
