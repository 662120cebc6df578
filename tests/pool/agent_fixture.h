#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/pool/agent/advance.h"

namespace dottereltrack::pool {

// An agent on a virtual clock; the test acts as its entries and its minion. The
// minion has been polled once and is idle.
class AgentFixture {
 public:
  AgentFixture();

  std::vector<AgentEffect> Step(std::vector<AgentEvent> events);
  // Advances the clock and sends a tick. The links to entries are kept alive.
  std::vector<AgentEffect> AdvanceTime(milliseconds time);
  // Connects an entry over a link.
  void AddEntry(std::uint64_t link, std::uint64_t entry);
  std::vector<AgentEffect> Start(std::uint64_t link, const RunKey& run);
  // Answers the poll that is in flight.
  std::vector<AgentEffect> AnswerPoll(std::vector<ListedRun> running,
                                      std::vector<ListedEnd> ended);
  std::vector<AgentEffect> FailPoll(CallAnswer answer);

  AgentBoard board;
  Now now;
};

template <typename T>
std::vector<T> SelectEffects(const std::vector<AgentEffect>& effects) {
  std::vector<T> found;
  for (const AgentEffect& effect : effects) {
    if (const auto* it = std::get_if<T>(&effect)) found.push_back(*it);
  }
  return found;
}

// Messages of one kind with the link that they are sent over.
template <typename T>
std::vector<std::pair<std::uint64_t, T>> SelectMessages(
    const std::vector<AgentEffect>& effects) {
  std::vector<std::pair<std::uint64_t, T>> found;
  for (const SendToEntry& it : SelectEffects<SendToEntry>(effects)) {
    if (const auto* message = std::get_if<T>(&it.message)) {
      found.emplace_back(it.link.value, *message);
    }
  }
  return found;
}

// The minion has the capacity for four tasks.
inline constexpr Resources kTaskNeeds{6'000, 64, 0};
inline constexpr Resources kMinionCapacity{24'000, 256, 0};

// Key of a run of a task of job 1.
RunKey MakeRunKey(std::uint32_t task, std::uint64_t number = 1);

// A report of the fixture's minion.
MinionReport MakeMinionReport(const std::string& id, std::uint64_t started_ms,
                              std::uint64_t sequence);

}  // namespace dottereltrack::pool
