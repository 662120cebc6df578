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

// Class and kind of work, for which the same minions come into question.
using CandidateKey = std::pair<const WorkClass*, std::string>;

// What one call of ChoosePlacements has decided so far.
struct PlacementRound {
  const EntryBoard* board = nullptr;
  Now now;
  // Agents with free slots, and how many slots that are.
  std::vector<OpenAgent> agents;
  std::uint32_t free_slots = 0;
  std::map<AgentId, Usage> planned_usage;
  // Expected ends of jobs by what was decided in this round.
  std::map<SubmissionId, BootTime> planned_ends;
  // Slots that are still busy and that held tasks wait for.
  std::map<AgentId, std::uint32_t> claims;
  std::uint32_t held = 0;
  std::map<CandidateKey, std::vector<Candidate>> open_candidates;
  // All eligible minions, free or not.
  std::map<CandidateKey, std::vector<Candidate>> all_candidates;
  std::vector<Placement> placements;
};

// What to do with one queued task now.
struct Choice {
  enum class Kind {
    kStart,
    // Another minion is worth waiting for; later tasks may go first.
    kHold,
    // No minion has room for this class of work.
    kNoRoom,
  };
  Kind kind = Kind::kNoRoom;
  const AgentRow* agent = nullptr;
  BootTime expected_end{0};
  friend bool operator==(const Choice&, const Choice&) = default;
};

PlacementRound BeginRound(const EntryBoard& board, const Now& now);

// The agent's usage with what this round has placed on it.
Usage UsageIn(const PlacementRound& round, AgentId id);

// Chooses for the task at the cursor.
Choice ChooseFor(const ClassCursor& cursor, PlacementRound* round);

}  // namespace dottereltrack
