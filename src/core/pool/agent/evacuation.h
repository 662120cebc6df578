#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Merges what an entry says of evacuations.
AgentChanges HandleEvacuationList(const AgentBoard& board, LinkId link,
                                  const EvacuationList& message,
                                  const Now& now);

// Sends the evacuations over each link whose entry does not know them, after
// the hello. Sends nothing if there has never been one.
AgentChanges SendEvacuations(const AgentBoard& board);

}  // namespace dottereltrack::pool
