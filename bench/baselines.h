#pragma once

#include <string>
#include <vector>

#include "trace.h"

namespace dottereltrack::bench {

// What one entry knows when it places a task by itself.
struct EntryView {
  // Tasks on each minion as last heard, plus those sent since.
  std::vector<std::uint32_t> known_load;
  // Minions that the entry knows to be gone.
  std::vector<bool> gone;
  std::uint64_t random = 0;
  std::uint64_t placed = 0;
  friend bool operator==(const EntryView&, const EntryView&) = default;
};

// Chooses a minion that is not known to be gone.
using BaselinePolicy = std::size_t (*)(const EntryView& view);

std::size_t ChooseRandom(const EntryView& view);
std::size_t ChooseRoundRobin(const EntryView& view);
// Among equal ones the choice is random.
std::size_t ChooseLeastKnownLoad(const EntryView& view);

struct Baseline {
  const char* name = "";
  BaselinePolicy choose = nullptr;
};

// All baselines, in the order in which reports list them.
const std::vector<Baseline>& AllBaselines();

// The responses of the trace when each entry places each task on arrival by
// that policy, and each minion queues what it gets in order of arrival. Loads
// become known with results. The message delays are those of the deployment.
std::vector<JobResult> RunBaseline(const Scenario& scenario, const Trace& trace,
                                   BaselinePolicy choose);

}  // namespace dottereltrack::bench
