#pragma once

#include <cstdint>

#include "core/entry/changes.h"

namespace dottereltrack {

// Slots of the minion that may be in use at once, by its recent results: none
// while it is ejected, one while it is probed or under suspicion.
std::uint32_t AllowedSlots(const EntryBoard& board, const AgentRow& agent,
                           const Now& now);

// Takes one result into the minion's health. Ejects a minion whose failures
// cannot be explained by the cell's rate, unless a third of the agents with a
// fence are ejected already, and lets it return after good probes.
EntryChanges JudgeResult(const EntryBoard& board, const AgentRow& agent,
                         const TaskResult& result, const Now& now);

}  // namespace dottereltrack
