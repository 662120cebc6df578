#include "core/entry/placement.h"

#include <algorithm>
#include <map>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/authority.h"
#include "core/entry/minion_health.h"

namespace dottereltrack {
namespace {

// What is free on one agent's minion while placements are being chosen.
struct FreeCapacity {
  const AgentRow* agent = nullptr;
  std::uint32_t slots = 0;
  std::uint64_t memory_bytes = 0;
  std::uint32_t accelerators = 0;
};

FreeCapacity FreeOn(const EntryBoard& board, const AgentRow& agent) {
  const MinionDescription& minion = agent.minion;
  FreeCapacity free;
  free.agent = &agent;
  free.slots = std::min(minion.slots, minion.connections);
  free.memory_bytes = minion.memory_bytes;
  free.accelerators = minion.accelerators;
  const auto sent = board.sent_by_agent.find(agent.id);
  if (sent == board.sent_by_agent.end()) return free;
  for (const TaskId& id : sent->second) {
    const Job& job = *board.jobs.Find(id.submission);
    const Needs& needs = job.body->tasks[id.index].needs;
    free.slots -= std::min<std::uint32_t>(free.slots, 1);
    free.memory_bytes -= std::min(free.memory_bytes, needs.memory_bytes);
    free.accelerators -= std::min(free.accelerators, needs.accelerators);
  }
  return free;
}

bool Fits(const FreeCapacity& free, const Needs& needs) {
  return free.slots > 0 && needs.memory_bytes <= free.memory_bytes &&
         needs.accelerators <= free.accelerators;
}

void Take(FreeCapacity* free, const Needs& needs) {
  --free->slots;
  free->memory_bytes -= needs.memory_bytes;
  free->accelerators -= needs.accelerators;
}

std::vector<FreeCapacity> AllFree(const EntryBoard& board, const Now& now) {
  std::vector<FreeCapacity> all;
  for (const auto& [id, agent] : board.agents) {
    if (!IsUsable(board, agent)) continue;
    if (IsDraining(board.config.config, agent.minion)) continue;
    if (!MayReceiveWork(board, agent, now)) continue;
    const FreeCapacity free = FreeOn(board, agent);
    if (free.slots > 0) all.push_back(free);
  }
  return all;
}

FreeCapacity* FastestFor(const EntryBoard& board, const Job& job,
                         const TaskSpec& spec, const Now& now,
                         std::vector<FreeCapacity>* all) {
  FreeCapacity* best = nullptr;
  double best_ratio = 0;
  for (FreeCapacity& free : *all) {
    if (!Fits(free, spec.needs)) continue;
    const MinionDescription& minion = free.agent->minion;
    if (!Matches(job.body->selector, board.config.config, minion)) continue;
    const double ratio = TimeRatioOf(board, minion.name, job.body->kind, now);
    if (best != nullptr && best_ratio <= ratio) continue;
    best = &free;
    best_ratio = ratio;
  }
  return best;
}

std::uint32_t TotalSlots(const std::vector<FreeCapacity>& all) {
  std::uint32_t total = 0;
  for (const FreeCapacity& free : all) total += free.slots;
  return total;
}

// A team with queued tasks and its share of the slots while choosing.
struct TeamQueue {
  const std::set<QueueKey>* queue = nullptr;
  std::set<QueueKey>::const_iterator next;
  std::uint32_t in_progress = 0;
  std::uint32_t limit = 0;
  std::uint32_t weight = 1;
};

bool MayStart(const TeamQueue& team) {
  return team.next != team.queue->end() &&
         (team.limit == 0 || team.in_progress < team.limit);
}

std::vector<TeamQueue> AllTeams(const EntryBoard& board) {
  std::vector<TeamQueue> teams;
  for (const auto& [name, queue] : board.queue_by_team) {
    TeamQueue team;
    team.queue = &queue;
    team.next = queue.begin();
    const auto busy = board.in_progress_by_team.find(name);
    if (busy != board.in_progress_by_team.end()) {
      team.in_progress = busy->second;
    }
    const auto config = board.config.config.teams.find(name);
    if (config != board.config.config.teams.end()) {
      team.limit = config->second.max_in_progress;
      team.weight = std::max<std::uint32_t>(config->second.weight, 1);
    }
    teams.push_back(team);
  }
  return teams;
}

// The team with the smallest share of slots over its weight.
TeamQueue* NextTeam(std::vector<TeamQueue>* teams) {
  TeamQueue* best = nullptr;
  for (TeamQueue& team : *teams) {
    if (!MayStart(team)) continue;
    const bool smaller =
        best == nullptr || std::uint64_t{team.in_progress} * best->weight <
                               std::uint64_t{best->in_progress} * team.weight;
    if (smaller) best = &team;
  }
  return best;
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
  std::vector<Placement> placements;
  if (board.queue_by_team.empty() || !HasAuthority(board, now)) {
    return placements;
  }
  std::vector<FreeCapacity> all = AllFree(board, now);
  std::uint32_t free_slots = TotalSlots(all);
  std::vector<TeamQueue> teams = AllTeams(board);
  while (free_slots > 0) {
    TeamQueue* team = NextTeam(&teams);
    if (team == nullptr) break;
    const QueueKey key = *team->next++;
    const Job& job = *board.jobs.Find(key.task.submission);
    if (job.state != JobState::kOpen) continue;
    const TaskSpec& spec = job.body->tasks[key.task.index];
    FreeCapacity* free = FastestFor(board, job, spec, now, &all);
    if (free == nullptr) continue;
    placements.push_back({key.task, free->agent->id});
    Take(free, spec.needs);
    ++team->in_progress;
    --free_slots;
  }
  return placements;
}

}  // namespace dottereltrack
