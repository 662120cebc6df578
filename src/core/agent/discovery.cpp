#include "core/agent/discovery.h"

#include <set>

#include "core/agent/results.h"

namespace dottereltrack {
namespace {

std::set<Endpoint> AddressesToDial(const AgentBoard& board,
                                   const std::vector<Endpoint>& seeds) {
  std::set<Endpoint> addresses;
  for (const Member& member : board.table.table.members) {
    addresses.insert(member.peer_address);
  }
  // Without any connection, the table may be out of date.
  if (board.links.empty()) addresses.insert(seeds.begin(), seeds.end());
  return addresses;
}

AgentChanges SendHello(const AgentBoard& board, LinkId link) {
  AgentHello hello;
  hello.agent = board.settings.id;
  hello.generation = board.fence.generation;
  hello.minion = *board.minion;
  hello.config = board.config;
  AgentChanges changes;
  changes.Add(SendToEntry{link, std::move(hello)});
  changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  return changes;
}

}  // namespace

AgentChanges DialEntries(const AgentBoard& board,
                         const std::vector<Endpoint>& seeds, const Now& now) {
  AgentChanges changes;
  // AgentHello contains the minion's description, which is not known yet.
  if (!board.minion) return changes;
  for (const Endpoint& address : AddressesToDial(board, seeds)) {
    EntryDial dial;
    dial.address = address;
    if (const EntryDial* old = board.dials.Find(address)) dial = *old;
    const bool is_due =
        !dial.dialing && dial.link == LinkId{} && dial.next_try_at <= now.boot;
    if (!is_due) continue;
    dial.dialing = true;
    changes.Add(Put<EntryDial>{dial});
    changes.Add(DialEntry{address});
  }
  return changes;
}

AgentChanges HandleEntryDialed(const AgentBoard& board,
                               const EntryDialed& event) {
  AgentChanges changes;
  changes.Add(Put<EntryDial>{{event.address, false, event.link, BootTime{0}}});
  changes.Add(Put<EntryLink>{{event.link, EntryId{}}});
  changes.Append(SendHello(board, event.link));
  if (board.leave_sent) {
    // The leave request was sent only to the entries connected at that time.
    changes.Add(SendToEntry{event.link,
                            MinionUpdate{MakeAck(board), *board.minion, true}});
    changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  }
  return changes;
}

AgentChanges HandleEntryDialFailed(const AgentBoard& board,
                                   const EntryDialFailed& event,
                                   const Now& now) {
  AgentChanges changes;
  changes.Add(Put<EntryDial>{
      {event.address, false, LinkId{}, now.boot + board.settings.dial_retry}});
  return changes;
}

AgentChanges HandleEntryHello(const AgentBoard& board, LinkId link,
                              const EntryHello& hello) {
  AgentChanges changes;
  if (!board.links.Contains(link)) return changes;
  changes.Add(Put<EntryLink>{{link, hello.entry}});
  changes.Append(AdoptAgentTable(board, hello.table));
  changes.Append(AdoptAgentConfig(board, hello.config));
  return changes;
}

AgentChanges HandleEntryLinkClosed(const AgentBoard& board, LinkId link,
                                   const Now& now) {
  AgentChanges changes;
  changes.Add(Erase<EntryLink>{link});
  for (const auto& [address, dial] : board.dials) {
    if (dial.link != link) continue;
    changes.Add(Put<EntryDial>{
        {address, false, LinkId{}, now.boot + board.settings.dial_retry}});
  }
  return changes;
}

AgentChanges AdoptAgentTable(const AgentBoard& board,
                             const StoredTable& table) {
  AgentChanges changes;
  if (table.revision > board.table.revision) changes.Add(SetAgentTable{table});
  return changes;
}

AgentChanges AdoptAgentConfig(const AgentBoard& board,
                              const StoredConfig& config) {
  AgentChanges changes;
  if (config.revision > board.config.revision) {
    changes.Add(SetAgentConfig{config});
  }
  return changes;
}

}  // namespace dottereltrack
