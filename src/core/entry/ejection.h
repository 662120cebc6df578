#pragma once

#include <cstdint>

#include "core/entry/changes.h"

namespace dottereltrack {

// Returns how many slots of the minion may be in use at once, based on its
// recent results: none while it is ejected, one while it is probed or
// suspected, otherwise all.
std::uint32_t AllowedSlots(const EntryBoard& board, const AgentRow& agent,
                           const Now& now);

// Updates the minion's health with one result. A minion whose failures cannot
// be explained by the failure rate of the cell is ejected, unless more than a
// third of the agents that may receive work would then be ejected. An ejected
// minion is readmitted after enough successful probes.
EntryChanges UpdateMinionHealth(const EntryBoard& board, const AgentRow& agent,
                                const TaskResult& result, const Now& now);

}  // namespace dottereltrack
