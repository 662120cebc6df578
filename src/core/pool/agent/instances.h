#pragma once

#include <string>

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Processes a report of the minion. An instance with another id replaces the
// known one at once if that has no runs; otherwise it becomes its successor.
AgentChanges HandleMinionReport(const AgentBoard& board,
                                const MinionReport& report, const Now& now);
// Marks the instance as draining. Its runs end when it lists their end, or when
// it answers no poll and their lease has lapsed: the call proves neither that
// its sender has ended nor that the runs have.
AgentChanges HandleMinionLeft(const AgentBoard& board, const MinionLeft& e,
                              const Now& now);

// Replaces the known instance by its successor once no run can be at work on it
// any more.
AgentChanges AdoptSuccessor(const AgentBoard& board, const Now& now);
// Forgets the successor, since the known instance has answered a poll.
AgentChanges RejectSuccessor(const AgentBoard& board);
// Handles a restart of the minion under the same id.
AgentChanges AdoptRestartedInstance(const AgentBoard& board,
                                    const MinionReport& report, const Now& now);

// Whether the known instance has announced its end or another one has reported.
// After a failed poll, the leases of its runs are not renewed.
bool IsExpectedToEnd(const AgentBoard& board);

// Whether a start time is too far ahead to be a minion's. Reports of an
// instance with an earlier start than the known one are ignored, so that such a
// time would hide all real reports.
bool IsStartTimeImplausible(std::uint64_t started_ms, const Now& now);

// A decision on an instance of the minion.
Decision MinionDecision(const MinionReport& minion, std::string event);

}  // namespace dottereltrack::pool
