#include "core/pool/agent/evacuation.h"

#include <utility>

namespace dottereltrack::pool {

AgentChanges HandleEvacuationList(const AgentBoard& board, LinkId link,
                                  const EvacuationList& message,
                                  const Now& now) {
  AgentChanges changes;
  EvacuationUpdate update =
      MergeEvacuations(board.evacuations, message.evacuations, now);
  if (const EntryLinkRow* known = board.links.Find(link)) {
    EntryLinkRow row = *known;
    if (update.is_sender_complete) {
      row.known_evacuation_changes = update.registers.changes;
    }
    if (update.is_sender_outdated) row.known_evacuation_changes = 0;
    changes.Add(Put<EntryLinkRow>{row});
  }
  for (const Evacuation& it : update.switched) {
    const bool is_own =
        board.minion && board.minion->data_centre == it.data_centre;
    changes.Add(
        Decision{Severity::kStateChange,
                 it.is_active ? "evacuation_started" : "evacuation_ended",
                 0,
                 {{"data_centre", it.data_centre}, {"source", "an entry"}},
                 {{"revision", static_cast<std::int64_t>(it.revision)},
                  {"own_data_centre", is_own ? 1 : 0},
                  {"runs", static_cast<std::int64_t>(board.runs.size())}}});
  }
  if (update.registers != board.evacuations) {
    changes.Add(SetAgentEvacuations{std::move(update.registers)});
  }
  return changes;
}

AgentChanges SendEvacuations(const AgentBoard& board) {
  AgentChanges changes;
  const std::uint64_t current = board.evacuations.changes;
  for (const auto& [id, link] : board.links) {
    if (link.known_evacuation_changes >= current) continue;
    EntryLinkRow row = link;
    row.known_evacuation_changes = current;
    changes.Add(Put<EntryLinkRow>{row});
    changes.Add(
        SendToEntry{id, EvacuationList{ListEvacuations(board.evacuations)}});
  }
  return changes;
}

}  // namespace dottereltrack::pool
