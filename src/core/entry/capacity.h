#pragma once

#include <cstdint>

#include "core/job.h"
#include "core/minion.h"

namespace dottereltrack {

// What the started tasks of one agent take from its minion.
struct Usage {
  std::uint32_t slots = 0;
  std::uint64_t memory_bytes = 0;
  std::uint32_t accelerators = 0;
  friend auto operator<=>(const Usage&, const Usage&) = default;
};

// The usage after one more task, or one less.
Usage Plus(const Usage& usage, const Needs& needs);
Usage Minus(const Usage& usage, const Needs& needs);

// Slots and connections are both hard limits; a task takes one of each.
std::uint32_t SlotLimit(const MinionDescription& minion);

// Whether the minion has room for one more task of these needs.
bool HasRoomFor(const MinionDescription& minion, const Usage& usage,
                const Needs& needs);

}  // namespace dottereltrack
