#pragma once

#include <string>
#include <vector>

#include "trace.h"

namespace dottereltrack::bench {

// State known to one entry when it places a task without coordination.
struct EntryView {
  // Number of tasks on each minion as last reported, plus those sent since.
  std::vector<std::uint32_t> known_load;
  // Minions that the entry knows to be lost.
  std::vector<bool> known_lost;
  std::uint64_t random_value = 0;
  std::uint64_t placed_tasks = 0;
  friend bool operator==(const EntryView&, const EntryView&) = default;
};

// Returns the index of a minion that is not known to be lost.
using BaselinePolicy = std::size_t (*)(const EntryView& view);

std::size_t ChooseRandom(const EntryView& view);
std::size_t ChooseRoundRobin(const EntryView& view);
// Breaks ties at random.
std::size_t ChooseLeastKnownLoad(const EntryView& view);

struct Baseline {
  const char* name = "";
  BaselinePolicy choose = nullptr;
};

// All baselines, in the order in which reports list them.
const std::vector<Baseline>& AllBaselines();

// Simulates the trace with entries that place each task on arrival by the given
// policy and minions that queue tasks first in, first out. Entries learn the
// load of a minion from its results. Message delays are those of the
// deployment.
std::vector<JobResult> RunBaseline(const Scenario& scenario, const Trace& trace,
                                   BaselinePolicy choose);

}  // namespace dottereltrack::bench
