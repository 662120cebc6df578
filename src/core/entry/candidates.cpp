#include "core/entry/candidates.h"

#include <algorithm>

#include "core/entry/agent_messages.h"
#include "core/entry/ejection.h"
#include "core/entry/placement.h"
#include "core/entry/run_time_estimates.h"

namespace dottereltrack {
namespace {

// Candidates are ordered by their expected time for a task of this length, so
// that one order serves all tasks of a placement round.
constexpr milliseconds kTypicalTaskDuration{200};

}  // namespace

BootTime ExpectedDuration(const Candidate& candidate,
                          milliseconds declared_time) {
  const auto run_time = static_cast<double>(BootTime(declared_time).count()) *
                        candidate.time_ratio;
  return candidate.round_trip + BootTime{static_cast<std::int64_t>(run_time)};
}

std::vector<EligibleAgent> AgentsWithFreeSlot(const EntryBoard& board,
                                              const Now& now) {
  std::vector<EligibleAgent> agents;
  for (const AgentId& id : board.agents_with_free_slot) {
    const AgentRow& agent = *board.agents.Find(id);
    if (!CanTakeWork(board, agent)) continue;
    if (IsDraining(board.stored_config.config, agent.minion)) continue;
    const std::uint32_t slots = AllowedSlots(board, agent, now);
    const auto usage = board.usage_by_agent.find(id);
    const bool has_free_slot =
        usage == board.usage_by_agent.end() || usage->second.slots < slots;
    if (slots > 0 && has_free_slot) agents.push_back({&agent, slots});
  }
  return agents;
}

std::vector<EligibleAgent> EligibleAgents(const EntryBoard& board,
                                          const Now& now) {
  std::vector<EligibleAgent> agents;
  for (const auto& [id, agent] : board.agents) {
    if (!CanTakeWork(board, agent)) continue;
    if (IsDraining(board.stored_config.config, agent.minion)) continue;
    const std::uint32_t slots = AllowedSlots(board, agent, now);
    if (slots > 0) agents.push_back({&agent, slots});
  }
  return agents;
}

std::vector<Candidate> FindCandidates(const EntryBoard& board,
                                      const WorkClass& work_class,
                                      const std::string& kind,
                                      const std::vector<EligibleAgent>& agents,
                                      const Now& now) {
  std::vector<Candidate> candidates;
  for (const EligibleAgent& eligible : agents) {
    const MinionDescription& minion = eligible.agent->minion;
    if (!CanEverFit(minion, work_class.needs)) continue;
    if (!Matches(work_class.selector, board.stored_config.config, minion)) {
      continue;
    }
    candidates.push_back({eligible.agent, eligible.allowed_slots,
                          EstimatedTimeRatio(board, minion.name, kind, now),
                          BootTime{0}});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return ExpectedDuration(a, kTypicalTaskDuration) <
                            ExpectedDuration(b, kTypicalTaskDuration);
                   });
  return candidates;
}

}  // namespace dottereltrack
