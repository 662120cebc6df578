#pragma once

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"

namespace dottereltrack::pool {

AgentChanges AddEntries(const AgentBoard& board,
                        const std::vector<Endpoint>& entries,
                        EntrySource source, const Now& now);
AgentChanges DialEntries(const AgentBoard& board, const Now& now);
AgentChanges HandleEntryDialed(const AgentBoard& board, const EntryDialed& e,
                               const Now& now);
// Forgets a link and stops the runs that it has asked for.
AgentChanges HandleEntryLinkClosed(const AgentBoard& board, LinkId link,
                                   const Now& now);
AgentChanges HandleEntryHello(const AgentBoard& board, LinkId link,
                              const EntryHello& message, const Now& now);
AgentChanges NoteEntryMessage(const AgentBoard& board, LinkId link,
                              const Now& now);

AgentChanges AbortSilentEntries(const AgentBoard& board, const Now& now);
AgentChanges AbortAllEntries(const AgentBoard& board, milliseconds pause);
AgentChanges PingIdleEntries(const AgentBoard& board, const Now& now);

// Tells all entries about the minion if it is another one than `before`.
AgentChanges AnnounceMinion(const AgentBoard& board,
                            const std::optional<MinionReport>& before);
// Sends load reports: at once where an entry waits for news, otherwise not more
// often than the report interval.
AgentChanges ReportLoad(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
