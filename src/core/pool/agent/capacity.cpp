#include "core/pool/agent/capacity.h"

#include <algorithm>

namespace dottereltrack::pool {
namespace {

// The platform allows the clock of a minion to be this much slower than true
// time.
constexpr int kMaxClockSlownessPercent = 2;

}  // namespace

Resources FreeResources(const AgentBoard& board) {
  if (!board.minion || HasAllRuns(board)) return {};
  Resources free = board.minion->capacity;
  for (const auto& [key, run] : board.runs) free -= run.needs;
  return free;
}

bool HasAllRuns(const AgentBoard& board) {
  return board.runs.size() >= board.settings.max_runs;
}

bool HasSuspect(const AgentBoard& board) {
  return std::any_of(board.runs.begin(), board.runs.end(),
                     [](const auto& it) { return it.second.is_suspect; });
}

bool HasOverdueStop(const AgentBoard& board, const Now& now) {
  return std::any_of(board.runs.begin(), board.runs.end(), [&](const auto& it) {
    const RunRow& run = it.second;
    return run.must_stop_by && now.boot >= *run.must_stop_by &&
           !run.stop_answered_at;
  });
}

BootTime LatestLeaseEnd(const AgentBoard& board) {
  return std::max(board.poll.lease_ends_at, board.poll.inherited_lease_ends_at);
}

bool IsEvacuated(const AgentBoard& board) {
  return board.minion &&
         IsEvacuated(board.evacuations, board.minion->data_centre);
}

double CurrentUsableShare(const AgentBoard& board, const Now& now) {
  if (!board.minion) return 1;
  return UsableShare(board.evacuations, board.minion->data_centre,
                     board.minion->cold_remaining, now);
}

Resources AvailableResources(const AgentBoard& board, const Now& now) {
  if (!board.minion) return {};
  const MinionReport& minion = *board.minion;
  const double share = CurrentUsableShare(board, now);
  // An evacuation is shown by `IsAccepting`, so that the free resources still
  // tell what runs.
  if (share <= 0 || share >= 1) return FreeResources(board);
  return FreeResources(board) -
         (minion.capacity - ShareOf(minion.capacity, share));
}

bool IsAccepting(const AgentBoard& board, const Now& now) {
  if (IsEvacuated(board)) return false;
  if (!board.minion || board.minion->draining || board.stopping) return false;
  // A start would renew the lease of all runs.
  if (board.successor || HasOverdueStop(board, now)) return false;
  if (!board.poll.has_inventory || board.poll.failures > 0) return false;
  // A run would outlive the wait of its entry if this agent failed.
  if (LatestLeaseEnd(board) > now.boot + board.settings.max_lease_duration) {
    return false;
  }
  const MinionHealth& health = board.health;
  if (now.boot < health.suspended_until) return false;
  if (health.on_trial && !board.runs.empty()) return false;
  // The needs of a run that was found on the minion are unknown.
  return std::none_of(board.runs.begin(), board.runs.end(),
                      [](const auto& it) { return it.second.entry == 0; });
}

std::uint64_t EstimateMinionClockMs(const AgentBoard& board, const Now& now) {
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now.boot - board.clock.read_at);
  return board.clock.minion_clock_ms +
         elapsed.count() * (100 - kMaxClockSlownessPercent) / 100;
}

}  // namespace dottereltrack::pool
