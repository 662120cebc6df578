#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

// Describes the minion to an entry; without its crashes.
AgentHello MakeHello(const AgentBoard& board);

AgentChanges AddEntries(const AgentBoard& board,
                        const std::vector<Endpoint>& entries,
                        EntrySource source, const Now& now);
// Dials the entries of this agent's subset, and marks links outside it.
AgentChanges DialEntries(const AgentBoard& board, const Now& now);
AgentChanges HandleEntryDialed(const AgentBoard& board, const EntryDialed& e,
                               const Now& now);
// Removes a link and stops the runs that were requested over it.
AgentChanges HandleEntryLinkClosed(const AgentBoard& board, LinkId link,
                                   const Now& now);
AgentChanges HandleEntryHello(const AgentBoard& board, LinkId link,
                              const EntryHello& message, const Now& now);
AgentChanges RecordEntryLinkActivity(const AgentBoard& board, LinkId link,
                                     const Now& now);

// Closes surplus links once no run depends on them.
AgentChanges CloseSurplusLinks(const AgentBoard& board, const Now& now);
AgentChanges AbortSilentEntryLinks(const AgentBoard& board, const Now& now);
AgentChanges AbortAllEntryLinks(const AgentBoard& board, milliseconds pause);
AgentChanges PingIdleEntryLinks(const AgentBoard& board, const Now& now);

// Sends a hello to all entries if the id or the capacity of the minion differs
// from `before`.
AgentChanges AnnounceMinion(const AgentBoard& board,
                            const std::optional<MinionReport>& before);
// Sends load reports: at once after a hello, a refused start, the end of a run,
// or a change of `accepting` or `settled`, otherwise not more often than the
// minimum report interval.
AgentChanges ReportLoad(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
