#include "core/entry/configuration.h"

#include <string>

namespace dottereltrack {
namespace {

// Longest time until an operator gets a reply.
constexpr milliseconds kChangeTimeout{5'000};
constexpr milliseconds kChangeRetryDelay{300};

Refusal VersionConflictRefusal(const EntryBoard& board,
                               std::uint64_t expected) {
  return {RefusalKind::kVersionConflict,
          "the configuration has version " +
              std::to_string(board.stored_config.config.version) + ", not " +
              std::to_string(expected) +
              "; read it again and repeat the change on top of it",
          ProveNeverAccepted(), std::nullopt};
}

Refusal StoreUnavailableRefusal() {
  return {
      RefusalKind::kStoreUnavailable,
      "the store did not take the change, so nothing has changed; try again "
      "when the store answers",
      ProveNeverAccepted(), std::nullopt};
}

Refusal UndecidedRefusal() {
  return {RefusalKind::kUndecided,
          "the store did not confirm the change, which may still take effect; "
          "read the configuration before you repeat it",
          std::nullopt, std::nullopt};
}

EntryChanges EndChange(const PendingConfigChange& change,
                       std::variant<StoredConfig, StoredTable, Refusal> reply) {
  EntryChanges changes;
  changes.Add(Erase<PendingConfigChange>{change.call});
  changes.Add(ReplyToOperator{change.call, std::move(reply)});
  return changes;
}

EntryChanges WriteChange(const PendingConfigChange& change) {
  EntryChanges changes;
  changes.Add(
      WriteConfig{change.call, change.expected_revision, change.config});
  changes.Add(Count{Counter::kStoreCalls});
  return changes;
}

EntryChanges PushConfigToPeers(const EntryBoard& board,
                               const StoredConfig& config) {
  EntryChanges changes;
  for (const auto& [id, peer] : board.peers) {
    if (peer.links.empty()) continue;
    changes.Add(SendToPeer{*peer.links.begin(), ConfigUpdate{config}});
    changes.Add(Count{Counter::kMessagesToPeers});
  }
  return changes;
}

EntryChanges ConfirmChange(const EntryBoard& board,
                           const PendingConfigChange& change,
                           const StoredConfig& config) {
  EntryChanges changes = AdoptConfig(board, config);
  changes.Append(PushConfigToPeers(board, config));
  changes.Append(EndChange(change, config));
  return changes;
}

}  // namespace

EntryChanges AdoptConfig(const EntryBoard& board, const StoredConfig& config) {
  EntryChanges changes;
  if (config.revision <= board.stored_config.revision) return changes;
  changes.Add(SetConfig{config});
  if (board.authority.role == Role::kMember) return changes;
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase == AgentPhase::kLost) continue;
    changes.Add(SendToAgent{agent.link, ConfigUpdate{config}});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

EntryChanges HandleOperatorSetsConfig(const EntryBoard& board,
                                      const OperatorSetsConfig& event,
                                      const Now& now) {
  EntryChanges changes;
  if (event.expected_version != board.stored_config.config.version) {
    changes.Add(ReplyToOperator{
        event.call, VersionConflictRefusal(board, event.expected_version)});
    return changes;
  }
  PendingConfigChange change;
  change.call = event.call;
  change.config = event.config;
  change.config.version = event.expected_version + 1;
  change.config.writer_nonce = now.random;
  change.expected_revision = board.stored_config.revision;
  change.started_at = now.boot;
  change.next_try_at = now.boot + kChangeTimeout;
  changes.Add(Put<PendingConfigChange>{change});
  changes.Append(WriteChange(change));
  return changes;
}

EntryChanges HandleConfigWritten(const EntryBoard& board,
                                 const ConfigWritten& event, const Now& now) {
  EntryChanges changes;
  const PendingConfigChange* change = board.config_changes.Find(event.call);
  if (change == nullptr) return changes;
  PendingConfigChange next = *change;
  switch (event.status) {
    case WriteStatus::kApplied:
      return ConfirmChange(board, *change, {event.revision, change->config});
    case WriteStatus::kConflict:
      // The newer value may be this change, written by an earlier attempt whose
      // result was lost.
      next.undecided = true;
      next.next_try_at = now.boot + kChangeRetryDelay;
      changes.Add(Put<PendingConfigChange>{next});
      changes.Add(ReadConfig{});
      changes.Add(Count{Counter::kStoreCalls});
      return changes;
    case WriteStatus::kNotApplied:
      if (!change->undecided) {
        return EndChange(*change, StoreUnavailableRefusal());
      }
      break;
    case WriteStatus::kUndecided:
      break;
  }
  next.undecided = true;
  next.next_try_at = now.boot + kChangeRetryDelay;
  changes.Add(Put<PendingConfigChange>{next});
  return changes;
}

EntryChanges HandleConfigObserved(const EntryBoard& board,
                                  const StoredConfig& config) {
  EntryChanges changes = AdoptConfig(board, config);
  for (const auto& [call, change] : board.config_changes) {
    if (config.revision <= change.expected_revision) continue;
    if (config.config.writer_nonce == change.config.writer_nonce) {
      changes.Append(ConfirmChange(board, change, config));
    } else if (config.config.version > change.config.version) {
      // Several changes have been made since, so it is unknown whether this one
      // was among them.
      changes.Append(EndChange(change, UndecidedRefusal()));
    } else {
      Refusal refusal =
          VersionConflictRefusal(board, change.config.version - 1);
      refusal.message =
          "another change was first; read the configuration "
          "again and repeat the change on top of it";
      changes.Append(EndChange(change, refusal));
    }
  }
  return changes;
}

EntryChanges RetryConfigChanges(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const auto& [call, change] : board.config_changes) {
    if (change.started_at + kChangeTimeout <= now.boot) {
      changes.Append(EndChange(change, UndecidedRefusal()));
    } else if (change.undecided && change.next_try_at <= now.boot) {
      PendingConfigChange next = change;
      next.next_try_at = now.boot + kChangeRetryDelay;
      changes.Add(Put<PendingConfigChange>{next});
      changes.Append(WriteChange(next));
    }
  }
  return changes;
}

}  // namespace dottereltrack
