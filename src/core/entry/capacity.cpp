#include "core/entry/capacity.h"

#include <algorithm>

namespace dottereltrack {

ResourceUsage UsageAfterStart(const ResourceUsage& usage, const Needs& needs) {
  return {usage.slots + 1, usage.memory_bytes + needs.memory_bytes,
          usage.accelerators + needs.accelerators};
}

ResourceUsage UsageAfterEnd(const ResourceUsage& usage, const Needs& needs) {
  return {usage.slots - 1, usage.memory_bytes - needs.memory_bytes,
          usage.accelerators - needs.accelerators};
}

std::uint32_t SlotLimit(const MinionDescription& minion) {
  return std::min(minion.slots, minion.connections);
}

bool HasRoomFor(const MinionDescription& minion, const ResourceUsage& usage,
                const Needs& needs) {
  return usage.slots < SlotLimit(minion) &&
         usage.memory_bytes + needs.memory_bytes <= minion.memory_bytes &&
         usage.accelerators + needs.accelerators <= minion.accelerators;
}

}  // namespace dottereltrack
