#pragma once

#include <string>
#include <vector>

#include "core/pool/entry/advance.h"

namespace dottereltrack::pool {

// An entry on a virtual clock; the test acts as its agents.
class EntryFixture {
 public:
  EntryFixture();

  std::vector<EntryEffect> Step(std::vector<EntryEvent> events);
  std::vector<EntryEffect> AdvanceTime(milliseconds time);
  // Connects an agent with a minion that accepts runs.
  void AddAgent(std::uint64_t link, const std::string& minion,
                Resources capacity, double log_slowness = 0,
                const std::string& data_centre = "north",
                const std::string& service = "menus");
  std::vector<EntryEffect> Submit(std::uint64_t job, std::uint32_t tasks,
                                  milliseconds client_timeout = milliseconds{
                                      2'000});

  EntryBoard board;
  Now now;
  std::uint64_t next_call = 1;
};

// Effects of one kind, in order.
template <typename T>
std::vector<T> SelectEffects(const std::vector<EntryEffect>& effects) {
  std::vector<T> found;
  for (const EntryEffect& effect : effects) {
    if (const auto* it = std::get_if<T>(&effect)) found.push_back(*it);
  }
  return found;
}

// Messages of one kind with the link that they are sent over.
template <typename T>
std::vector<std::pair<std::uint64_t, T>> SelectMessages(
    const std::vector<EntryEffect>& effects) {
  std::vector<std::pair<std::uint64_t, T>> found;
  for (const SendMessage& it : SelectEffects<SendMessage>(effects)) {
    if (const auto* message = std::get_if<T>(&it.message)) {
      found.emplace_back(it.link.value, *message);
    }
  }
  return found;
}

// Resources for `n` of the tasks that Submit creates.
Resources ResourcesFor(int n);

}  // namespace dottereltrack::pool
