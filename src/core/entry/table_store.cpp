#include "core/entry/table_store.h"

#include <algorithm>

#include "core/entry/forwarding.h"
#include "core/entry/membership.h"

namespace dottereltrack {
namespace {

milliseconds RetryDelay(const EntrySettings& settings, std::uint32_t failures,
                        const Now& now) {
  const std::uint32_t shift = std::min<std::uint32_t>(failures, 6);
  const milliseconds full_delay =
      std::min(settings.store_retry * (1 << shift), settings.max_store_retry);
  // Half of the delay is random, so that entries do not retry at the same time.
  return full_delay / 2 +
         milliseconds{now.random % (full_delay.count() / 2 + 1)};
}

StoreStatus AfterFailure(const StoreStatus& status,
                         const EntrySettings& settings, const Now& now) {
  StoreStatus next = status;
  next.read_pending = false;
  next.next_try_at = now.boot + RetryDelay(settings, next.failures, now);
  ++next.failures;
  return next;
}

EntryChanges PushTableToPeers(const EntryBoard& board,
                              const StoredTable& table) {
  EntryChanges changes;
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.empty()) continue;
    changes.Add(SendToPeer{*peer.links.begin(), TableUpdate{table}});
    changes.Add(Count{Counter::kMessagesToPeers});
  }
  return changes;
}

EntryChanges PushTableToAgents(const EntryBoard& board,
                               const StoredTable& table) {
  EntryChanges changes;
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase == AgentPhase::kLost) continue;
    changes.Add(SendToAgent{agent.link, TableUpdate{table}});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

}  // namespace

EntryChanges WriteDesiredTable(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.store.write_in_flight || board.store.read_pending) return changes;
  if (now.boot < board.store.next_try_at) return changes;
  std::optional<CellTable> table = board.store.pending_table;
  if (!table) {
    table = DesiredTable(board, now);
    if (!table) return changes;
    table->writer_nonce = now.random;
  }
  StoreStatus next = board.store;
  next.pending_table = table;
  next.write_in_flight = true;
  const EntryId self = board.settings.id;
  const bool is_joining =
      !IsMember(board.stored_table.table, self) && IsMember(*table, self);
  if (is_joining) next.joined_at = now.boot;
  changes.Add(SetStoreStatus{next});
  changes.Add(WriteTable{board.stored_table.revision, *table});
  changes.Add(Count{Counter::kStoreCalls});
  return changes;
}

EntryChanges HandleTableWritten(const EntryBoard& board,
                                const TableWritten& event, const Now& now) {
  EntryChanges changes;
  StoreStatus next = board.store;
  next.write_in_flight = false;
  if (!board.store.pending_table) {
    // A newer table has been adopted meanwhile, so this write cannot take
    // effect.
    changes.Add(SetStoreStatus{next});
    return changes;
  }
  switch (event.status) {
    case WriteStatus::kApplied:
      changes.Append(
          AdoptTable(board, {event.revision, *board.store.pending_table}));
      next.pending_table.reset();
      next.write_undecided = false;
      next.failures = 0;
      break;
    case WriteStatus::kConflict:
      // The newer value may come from an earlier write of this entry whose
      // result was lost, so only a read can tell.
      next = AfterFailure(next, board.settings, now);
      next.write_undecided = true;
      next.read_pending = true;
      changes.Add(ReadTable{});
      changes.Add(Count{Counter::kStoreCalls});
      break;
    case WriteStatus::kNotApplied:
      next = AfterFailure(next, board.settings, now);
      // An earlier attempt of the same write may still take effect.
      if (!board.store.write_undecided) next.pending_table.reset();
      break;
    case WriteStatus::kUndecided:
      next = AfterFailure(next, board.settings, now);
      next.write_undecided = true;
      break;
  }
  changes.Add(SetStoreStatus{next});
  return changes;
}

EntryChanges HandleTableObserved(const EntryBoard& board,
                                 const StoredTable& table, const Now& now) {
  (void)now;
  EntryChanges changes;
  StoreStatus next = board.store;
  next.table_known = true;
  next.read_pending = false;
  next.failures = 0;
  changes.Add(SetStoreStatus{next});
  changes.Append(AdoptTable(board, table));
  return changes;
}

EntryChanges HandleStoreReadFailed(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  changes.Add(SetStoreStatus{AfterFailure(board.store, board.settings, now)});
  return changes;
}

EntryChanges ReadTableIfNeeded(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.store.table_known || board.store.read_pending) return changes;
  if (now.boot < board.store.next_try_at) return changes;
  StoreStatus next = board.store;
  next.read_pending = true;
  changes.Add(SetStoreStatus{next});
  changes.Add(ReadTable{});
  changes.Add(Count{Counter::kStoreCalls});
  return changes;
}

EntryChanges AdoptTable(const EntryBoard& board, const StoredTable& table) {
  EntryChanges changes;
  if (table.revision <= board.stored_table.revision) return changes;
  changes.Add(SetTable{table});
  // A write against an older revision can no longer take effect, whether the
  // newer table came from the store, a peer or this entry's own write.
  changes.Add(DropPendingTable{});
  if (table.table.generation != board.stored_table.table.generation) {
    changes.Append(UnrouteCalls(board));
  }
  // A dispatcher that hands over must inform its successor and the others.
  const bool dispatches = table.table.dispatcher == board.settings.id ||
                          board.authority.role != Role::kMember;
  if (dispatches) changes.Append(PushTableToPeers(board, table));
  // An agent may be connected only to this entry. Without the new list of
  // members it would never connect to a new dispatcher.
  if (dispatches || table.table.members != board.stored_table.table.members) {
    changes.Append(PushTableToAgents(board, table));
  }
  return changes;
}

}  // namespace dottereltrack
