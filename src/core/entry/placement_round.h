#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/entry/candidates.h"
#include "core/entry/placement.h"
#include "core/entry/team_shares.h"

namespace dottereltrack {

// Work class and kind; together they determine the candidates.
using CandidateKey = std::pair<const WorkClass*, std::string>;

// State of one placement round, that is, of one call of ChoosePlacements.
struct PlacementRound {
  const EntryBoard* board = nullptr;
  Now now;
  // Agents with free slots, and the number of those slots that this round has
  // not used yet.
  std::vector<EligibleAgent> agents_with_free_slot;
  std::uint32_t free_slots = 0;
  std::map<AgentId, ResourceUsage> planned_usage;
  // Latest expected end of each job's tasks that were placed or deferred in
  // this round.
  std::map<SubmissionId, BootTime> planned_ends;
  // Number of busy slots per agent that deferred tasks wait for.
  std::map<AgentId, std::uint32_t> awaited_slots;
  std::uint32_t deferred_tasks = 0;
  std::map<CandidateKey, std::vector<Candidate>> free_candidates;
  // Candidates whether or not they have a free slot.
  std::map<CandidateKey, std::vector<Candidate>> all_candidates;
  std::vector<Placement> placements;
};

// The decision for one queued task.
struct PlacementDecision {
  enum class Kind {
    kStart,
    // Waiting for another minion is better; later tasks may go first.
    kDefer,
    // No minion has capacity for this class of work.
    kNoCapacity,
  };
  Kind kind = Kind::kNoCapacity;
  const AgentRow* agent = nullptr;
  BootTime expected_end{0};
  friend bool operator==(const PlacementDecision&,
                         const PlacementDecision&) = default;
};

PlacementRound BeginPlacementRound(const EntryBoard& board, const Now& now);

// Returns the agent's usage including the tasks placed on it in this round.
ResourceUsage UsageInRound(const PlacementRound& round, AgentId id);

// Decides whether and where to start the task at the cursor. If the task is to
// wait for a busy minion, reserves one of that minion's slots in the round.
PlacementDecision DecidePlacement(const ClassCursor& cursor,
                                  PlacementRound* round);

}  // namespace dottereltrack
