#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/minion.h"

namespace dottereltrack {

// Minion resources in use by the started tasks of one agent.
struct ResourceUsage {
  std::uint32_t slots = 0;
  std::uint64_t memory_bytes = 0;
  std::uint32_t accelerators = 0;
  friend auto operator<=>(const ResourceUsage&, const ResourceUsage&) = default;
};

// Return the usage with one task more or one task less.
ResourceUsage UsageAfterStart(const ResourceUsage& usage, const Needs& needs);
ResourceUsage UsageAfterEnd(const ResourceUsage& usage, const Needs& needs);

// Returns how many tasks the minion can run at once. Slots and connections are
// both hard limits; a task takes one of each.
std::uint32_t SlotLimit(const MinionDescription& minion);

// Whether the minion has capacity for one more task with the given needs.
bool HasRoomFor(const MinionDescription& minion, const ResourceUsage& usage,
                const Needs& needs);

}  // namespace dottereltrack
