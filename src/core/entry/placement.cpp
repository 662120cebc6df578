#include "core/entry/placement.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "core/entry/authority.h"
#include "core/entry/candidates.h"
#include "core/entry/capacity.h"
#include "core/entry/team_shares.h"

namespace dottereltrack {
namespace {

// The minions of one class and kind in this round.
using CandidateKey = std::pair<const WorkClass*, std::string>;

// Chooses placements one after the other and keeps what they take.
class Round {
 public:
  Round(const EntryBoard& board, const Now& now)
      : board_(board), now_(now), agents_(OpenAgents(board, now)) {
    for (const OpenAgent& open : agents_) {
      free_slots_ += open.slots - UsageOf(open.agent->id).slots;
    }
  }

  std::vector<Placement> Run() {
    std::vector<TeamCursor> teams = CursorsOf(board_);
    while (free_slots_ > 0) {
      TeamCursor* team = NextTeam(&teams);
      if (team == nullptr) break;
      ClassCursor* cursor = NextClass(team);
      const AgentRow* agent = ChooseAgent(*cursor);
      if (agent == nullptr) {
        cursor->blocked = true;
        continue;
      }
      Place(TaskAt(*cursor), *agent, cursor->work->needs);
      ++team->in_progress;
      SkipTask(board_, cursor);
    }
    return std::move(placements_);
  }

 private:
  Usage UsageOf(AgentId id) const {
    const auto planned = planned_.find(id);
    if (planned != planned_.end()) return planned->second;
    const auto used = board_.usage_by_agent.find(id);
    return used == board_.usage_by_agent.end() ? Usage{} : used->second;
  }

  const std::vector<Candidate>& CandidatesOf(const WorkClass& work,
                                             const std::string& kind) {
    const CandidateKey key{&work, kind};
    const auto it = candidates_.find(key);
    if (it != candidates_.end()) return it->second;
    return candidates_
        .emplace(key, CandidatesFor(board_, work, kind, agents_, now_))
        .first->second;
  }

  const AgentRow* ChooseAgent(const ClassCursor& cursor) {
    const Job& job = *board_.jobs.Find(cursor.job->id);
    for (const Candidate& it : CandidatesOf(*cursor.work, job.body->kind)) {
      const Usage usage = UsageOf(it.agent->id);
      const bool fits = usage.slots < it.slots &&
                        HasRoomFor(it.agent->minion, usage, cursor.work->needs);
      if (fits) return it.agent;
    }
    return nullptr;
  }

  void Place(const TaskId& task, const AgentRow& agent, const Needs& needs) {
    placements_.push_back({task, agent.id});
    planned_[agent.id] = Plus(UsageOf(agent.id), needs);
    --free_slots_;
  }

  const EntryBoard& board_;
  const Now& now_;
  std::vector<OpenAgent> agents_;
  std::uint32_t free_slots_ = 0;
  PlannedUsage planned_;
  std::map<CandidateKey, std::vector<Candidate>> candidates_;
  std::vector<Placement> placements_;
};

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
  return Round(board, now).Run();
}

}  // namespace dottereltrack
