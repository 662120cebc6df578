#pragma once

#include "core/pool/agent/changes.h"

namespace dottereltrack::pool {

// Agents keep a copy of the newest configuration, so that entries that have
// lost their memory while the store is unavailable get it back.

// Records what an entry can provide; announces the kept version to an entry
// that has an older one.
AgentChanges HandleConfigAnnouncement(const AgentBoard& board, LinkId link,
                                      const ConfigAnnouncement& message);
AgentChanges HandleConfigRequest(const AgentBoard& board, LinkId link);
// Keeps a text that is newer than the kept one.
AgentChanges HandleConfigOffer(const AgentBoard& board, LinkId link,
                               const ConfigOffer& message, const Now& now);

// Requests a newer version from an entry with a fast link, seldom enough that
// frequent changes do not take up the links.
AgentChanges RequestConfigCopy(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
