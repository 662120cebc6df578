#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/entry/board.h"

namespace dottereltrack {

// An agent that may receive starts, and the number of its slots that may be in
// use at once.
struct EligibleAgent {
  const AgentRow* agent = nullptr;
  std::uint32_t allowed_slots = 0;
  friend bool operator==(const EligibleAgent&, const EligibleAgent&) = default;
};

// An agent whose minion can run tasks of a given class and kind.
struct Candidate {
  const AgentRow* agent = nullptr;
  std::uint32_t allowed_slots = 0;
  // Ratio of expected run time to declared run time.
  double time_ratio = 1.0;
  BootTime round_trip{0};
  friend bool operator==(const Candidate&, const Candidate&) = default;
};

// Returns the expected time from now until a task with the given declared run
// time ends on the candidate, including the round trip.
BootTime ExpectedDuration(const Candidate& candidate,
                          milliseconds declared_time);

// Returns the agents that have a free slot, may receive work, and whose minions
// are neither draining nor ejected.
std::vector<EligibleAgent> AgentsWithFreeSlot(const EntryBoard& board,
                                              const Now& now);

// Returns the agents that may receive work and whose minions are neither
// draining nor ejected, whether or not they have a free slot.
std::vector<EligibleAgent> EligibleAgents(const EntryBoard& board,
                                          const Now& now);

// Returns the agents whose minions can run tasks of the class, ordered by
// expected time, fastest first.
std::vector<Candidate> FindCandidates(const EntryBoard& board,
                                      const WorkClass& work_class,
                                      const std::string& kind,
                                      const std::vector<EligibleAgent>& agents,
                                      const Now& now);

}  // namespace dottereltrack
