#include "core/entry/candidates.h"

#include <algorithm>

#include "core/entry/agent_messages.h"
#include "core/entry/ejection.h"
#include "core/entry/minion_health.h"
#include "core/entry/placement.h"

namespace dottereltrack {
namespace {

// Candidates are ordered by their time for a task of this length, so that the
// order holds for all tasks of a round.
constexpr milliseconds kTypicalTask{200};

}  // namespace

BootTime ExpectedTime(const Candidate& candidate, milliseconds declared) {
  const auto run_time =
      static_cast<double>(BootTime(declared).count()) * candidate.time_ratio;
  return candidate.round_trip + BootTime{static_cast<std::int64_t>(run_time)};
}

std::vector<OpenAgent> OpenAgents(const EntryBoard& board, const Now& now) {
  std::vector<OpenAgent> agents;
  for (const AgentId& id : board.agents_with_free_slot) {
    const AgentRow& agent = *board.agents.Find(id);
    if (!IsUsable(board, agent)) continue;
    if (IsDraining(board.stored_config.config, agent.minion)) continue;
    const std::uint32_t slots = AllowedSlots(board, agent, now);
    const auto usage = board.usage_by_agent.find(id);
    const bool room =
        usage == board.usage_by_agent.end() || usage->second.slots < slots;
    if (slots > 0 && room) agents.push_back({&agent, slots});
  }
  return agents;
}

std::vector<OpenAgent> WorkingAgents(const EntryBoard& board, const Now& now) {
  std::vector<OpenAgent> agents;
  for (const auto& [id, agent] : board.agents) {
    if (!IsUsable(board, agent)) continue;
    if (IsDraining(board.stored_config.config, agent.minion)) continue;
    const std::uint32_t slots = AllowedSlots(board, agent, now);
    if (slots > 0) agents.push_back({&agent, slots});
  }
  return agents;
}

std::vector<Candidate> CandidatesFor(const EntryBoard& board,
                                     const WorkClass& work,
                                     const std::string& kind,
                                     const std::vector<OpenAgent>& agents,
                                     const Now& now) {
  std::vector<Candidate> candidates;
  for (const OpenAgent& open : agents) {
    const MinionDescription& minion = open.agent->minion;
    if (!CanEverFit(minion, work.needs)) continue;
    if (!Matches(work.selector, board.stored_config.config, minion)) continue;
    candidates.push_back({open.agent, open.slots,
                          TimeRatioOf(board, minion.name, kind, now),
                          BootTime{0}});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return ExpectedTime(a, kTypicalTask) <
                            ExpectedTime(b, kTypicalTask);
                   });
  return candidates;
}

}  // namespace dottereltrack
