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
constexpr std::uint32_t kMaxDeferredTasks = 256;

void AddPlacement(const TaskId& task, const PlacementDecision& decision,
                  const Needs& needs, PlacementRound* round) {
  const AgentId id = decision.agent->id;
  round->placements.push_back({task, id, decision.expected_end});
  round->planned_usage[id] = UsageAfterStart(UsageInRound(*round, id), needs);
  --round->free_slots;
}

void RecordPlannedEnd(const SubmissionId& id, BootTime end,
                      PlacementRound* round) {
  BootTime& planned = round->planned_ends[id];
  planned = std::max(planned, end);
}

// Places or defers the team's next task. A deferred task takes no slot of the
// team.
void PlaceNextTask(TeamCursor* team, PlacementRound* round) {
  ClassCursor* cursor = SelectNextClass(team);
  const PlacementDecision decision = DecidePlacement(*cursor, round);
  if (decision.kind == PlacementDecision::Kind::kNoCapacity) {
    cursor->blocked = true;
    return;
  }
  const TaskId task = CurrentTask(*cursor);
  RecordPlannedEnd(task.submission, decision.expected_end, round);
  if (decision.kind == PlacementDecision::Kind::kDefer) {
    ++round->deferred_tasks;
  } else {
    AddPlacement(task, decision, cursor->work_class->needs, round);
    ++team->in_progress;
  }
  AdvanceCursor(*round->board, cursor);
}

}  // namespace

bool Matches(const Selector& selector, const CellConfig& config,
             const MinionDescription& minion) {
  const auto overrides = config.label_overrides.find(minion.name);
  for (const auto& [label, values] : selector.allowed) {
    const std::string* label_value = nullptr;
    if (overrides != config.label_overrides.end()) {
      const auto it = overrides->second.find(label);
      if (it != overrides->second.end()) label_value = &it->second;
    }
    if (label_value == nullptr) {
      const auto it = minion.labels.find(label);
      if (it == minion.labels.end()) return false;
      label_value = &it->second;
    }
    if (std::find(values.begin(), values.end(), *label_value) == values.end()) {
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
  PlacementRound round = BeginPlacementRound(board, now);
  std::vector<TeamCursor> teams = MakeTeamCursors(board);
  while (round.free_slots > 0 && round.deferred_tasks < kMaxDeferredTasks) {
    TeamCursor* team = SelectNextTeam(&teams);
    if (team == nullptr) break;
    PlaceNextTask(team, &round);
  }
  return std::move(round.placements);
}

}  // namespace dottereltrack
