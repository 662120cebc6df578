#pragma once

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Reason of a refusal in the log.
inline constexpr const char* kOnlyEvacuatedMinions =
    "all minions of the service are in evacuated data centres";

// Merge what the store or another process says of evacuations.
EntryChanges HandleEvacuationsRead(const EntryBoard& board,
                                   const EvacuationView& view, const Now& now);
EntryChanges HandleEvacuationList(const EntryBoard& board, LinkId link,
                                  const EvacuationList& message,
                                  const Now& now);

// Sends the evacuations over each link whose other side does not know them.
// Sends nothing if there has never been one.
EntryChanges SendEvacuations(const EntryBoard& board);

// Refuses accepted jobs of which no task has been started, if no minion outside
// evacuated data centres can run them.
EntryChanges RefuseEvacuatedJobs(const EntryBoard& board, const Now& now);

// Whether the agent accepts runs and its data centre is not evacuated.
bool IsUsable(const EntryBoard& board, const AgentRow& agent);

// The part of the minion's capacity that may be used, less than all of it after
// an evacuation.
Resources UsableCapacity(const EntryBoard& board, const AgentRow& agent,
                         const Now& now);

// Whether the service has minions, all of them in evacuated data centres. False
// while an entry that has just started waits for the agents to connect.
bool HasOnlyEvacuatedMinions(const EntryBoard& board,
                             const std::string& service, const Now& now);

}  // namespace dottereltrack::pool
