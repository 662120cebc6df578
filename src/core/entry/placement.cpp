#include "core/entry/placement.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/entry/authority.h"
#include "core/entry/capacity.h"
#include "core/entry/placement_round.h"
#include "core/entry/team_shares.h"

namespace dottereltrack {
namespace {

// Maximum number of tasks deferred in one placement round; bounds the work of a
// round.
constexpr std::uint32_t kMaxHeld = 256;

void Place(const TaskId& task, const Choice& choice, const Needs& needs,
           PlacementRound* round) {
  const AgentId id = choice.agent->id;
  round->placements.push_back({task, id, choice.expected_end});
  round->planned_usage[id] = Plus(UsageIn(*round, id), needs);
  --round->free_slots;
}

void PlanEnd(const SubmissionId& id, BootTime end, PlacementRound* round) {
  BootTime& planned = round->planned_ends[id];
  planned = std::max(planned, end);
}

// Places or defers the team's next task. A deferred task takes no slot of the
// team.
void Step(TeamCursor* team, PlacementRound* round) {
  ClassCursor* cursor = NextClass(team);
  const Choice choice = ChooseFor(*cursor, round);
  if (choice.kind == Choice::Kind::kNoRoom) {
    cursor->blocked = true;
    return;
  }
  const TaskId task = TaskAt(*cursor);
  PlanEnd(task.submission, choice.expected_end, round);
  if (choice.kind == Choice::Kind::kHold) {
    ++round->held;
  } else {
    Place(task, choice, cursor->work->needs, round);
    ++team->in_progress;
  }
  SkipTask(*round->board, cursor);
}

}  // namespace

bool Matches(const Selector& selector, const CellConfig& config,
             const MinionDescription& minion) {
  const auto overrides = config.label_overrides.find(minion.name);
  for (const auto& [label, values] : selector.allowed) {
    const std::string* found = nullptr;
    if (overrides != config.label_overrides.end()) {
      const auto it = overrides->second.find(label);
      if (it != overrides->second.end()) found = &it->second;
    }
    if (found == nullptr) {
      const auto it = minion.labels.find(label);
      if (it == minion.labels.end()) return false;
      found = &it->second;
    }
    if (std::find(values.begin(), values.end(), *found) == values.end()) {
      return false;
    }
  }
  return true;
}

bool CanEverFit(const MinionDescription& minion, const Needs& needs) {
  return minion.slots > 0 && minion.connections > 0 &&
         needs.memory_bytes <= minion.memory_bytes &&
         needs.accelerators <= minion.accelerators;
}

bool IsDraining(const CellConfig& config, const MinionDescription& minion) {
  const auto& drained = config.drained_minions;
  return minion.draining || std::find(drained.begin(), drained.end(),
                                      minion.name) != drained.end();
}

std::vector<Placement> ChoosePlacements(const EntryBoard& board,
                                        const Now& now) {
  if (board.queue_by_team.empty() || !HasAuthority(board, now)) return {};
  PlacementRound round = BeginRound(board, now);
  std::vector<TeamCursor> teams = CursorsOf(board);
  while (round.free_slots > 0 && round.held < kMaxHeld) {
    TeamCursor* team = NextTeam(&teams);
    if (team == nullptr) break;
    Step(team, &round);
  }
  return std::move(round.placements);
}

}  // namespace dottereltrack
