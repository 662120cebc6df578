#include "core/agent/draining.h"

#include <algorithm>

#include "core/agent/results.h"

namespace dottereltrack {
namespace {

AgentChanges NotifyEntries(const AgentBoard& board,
                           const MinionDescription& minion, bool leaving) {
  AgentChanges changes;
  for (const auto& [id, link] : board.links) {
    changes.Add(SendToEntry{id, MinionUpdate{MakeAck(board), minion, leaving}});
    changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  }
  return changes;
}

bool IsInRoster(const AgentBoard& board) {
  const auto& roster = board.table.table.roster;
  return std::any_of(roster.begin(), roster.end(), [&](const RosterAgent& it) {
    return it.id == board.settings.id;
  });
}

}  // namespace

bool IsDraining(const AgentBoard& board) {
  if (board.stopping || !board.minion || board.minion->draining) return true;
  const auto& drained = board.config.config.drained_minions;
  return std::find(drained.begin(), drained.end(), board.minion->name) !=
         drained.end();
}

AgentChanges HandleMinionAnnounced(const AgentBoard& board,
                                   const MinionAnnounced& event,
                                   const Now& now) {
  AgentChanges changes;
  MinionDescription minion = event.minion;
  const bool same_run =
      board.minion && board.minion->instance == minion.instance;
  // Minions repeat their announcements. A repeated announcement must not cancel
  // draining that the minion or the agent has started.
  minion.draining |= board.stopping || (same_run && board.minion->draining);
  if (board.minion == minion) return changes;
  if (board.minion && !same_run) changes.Append(EndRunningTasks(board, now));
  changes.Add(SetMinion{minion});
  changes.Append(NotifyEntries(board, minion, false));
  return changes;
}

AgentChanges HandleMinionLeaving(const AgentBoard& board) {
  AgentChanges changes;
  if (!board.minion || board.minion->draining) return changes;
  MinionDescription minion = *board.minion;
  minion.draining = true;
  changes.Add(SetMinion{minion});
  changes.Append(NotifyEntries(board, minion, false));
  return changes;
}

AgentChanges HandleAgentStop(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  if (board.stopping) return changes;
  changes.Append(HandleMinionLeaving(board));
  changes.Add(SetAgentStopping{now.boot});
  return changes;
}

AgentChanges LeaveWhenIdle(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  if (!board.stopping) return changes;
  const bool leave_timed_out =
      board.stopping_since + board.settings.leave_timeout <= now.boot;
  if (!board.running.empty()) return changes;
  if (!board.minion || !IsInRoster(board) || leave_timed_out) {
    changes.Add(ExitAgent{});
  } else if (!board.leave_sent) {
    changes.Append(NotifyEntries(board, *board.minion, true));
    changes.Add(SetLeaveSent{true});
  }
  return changes;
}

}  // namespace dottereltrack
