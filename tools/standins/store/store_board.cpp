#include "store/store_board.h"

#include <utility>

namespace dottereltrack::standins {
namespace {

// Maximum number of changes kept for watches.
constexpr std::size_t kMaxHistory = 10'000;

void AppendToHistory(StoreBoard* board, Item change) {
  board->history.push_back(std::move(change));
  if (board->history.size() <= kMaxHistory) return;
  board->last_dropped_revision = board->history.front().revision;
  board->history.pop_front();
}

void Remove(StoreBoard* board, const std::string& key) {
  if (board->items.erase(key) == 0) return;
  Item change;
  change.key = key;
  change.revision = ++board->last_revision;
  change.removed = true;
  AppendToHistory(board, std::move(change));
}

void Put(StoreBoard* board, const Item& put) {
  Item item = put;
  item.revision = ++board->last_revision;
  const auto existing = board->items.find(put.key);
  item.created =
      existing == board->items.end() ? item.revision : existing->second.created;
  board->items[put.key] = item;
  AppendToHistory(board, std::move(item));
}

}  // namespace

std::uint64_t RevisionOf(const StoreBoard& board, const std::string& key) {
  const auto it = board.items.find(key);
  return it == board.items.end() ? 0 : it->second.revision;
}

TransactionStatus Commit(StoreBoard* board, const Transaction& transaction) {
  for (const auto& [key, revision] : transaction.expected_revisions) {
    if (RevisionOf(*board, key) != revision) {
      return TransactionStatus::kConflict;
    }
  }
  for (const Item& put : transaction.puts) {
    if (put.lease != 0 && board->leases.count(put.lease) == 0) {
      return TransactionStatus::kNoLease;
    }
  }
  for (const Item& put : transaction.puts) Put(board, put);
  for (const std::string& key : transaction.removals) Remove(board, key);
  return TransactionStatus::kApplied;
}

std::optional<std::vector<Item>> ChangesSince(const StoreBoard& board,
                                              const std::string& prefix,
                                              std::uint64_t revision) {
  if (revision < board.last_dropped_revision) return std::nullopt;
  std::vector<Item> changes;
  for (const Item& change : board.history) {
    if (change.revision <= revision) continue;
    if (change.key.rfind(prefix, 0) == 0) changes.push_back(change);
  }
  return changes;
}

Lease GrantLease(StoreBoard* board, milliseconds ttl, milliseconds now) {
  const Lease lease{++board->last_lease_id, ttl, now + ttl};
  board->leases[lease.id] = lease;
  return lease;
}

std::optional<Lease> RenewLease(StoreBoard* board, std::uint64_t id,
                                milliseconds now) {
  const auto it = board->leases.find(id);
  if (it == board->leases.end() || it->second.expires_at <= now) return {};
  it->second.expires_at = now + it->second.ttl;
  return it->second;
}

bool EndLease(StoreBoard* board, std::uint64_t id) {
  if (board->leases.erase(id) == 0) return false;
  std::vector<std::string> keys;
  for (const auto& [key, item] : board->items) {
    if (item.lease == id) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(board, key);
  return true;
}

void ExpireLeases(StoreBoard* board, milliseconds now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : board->leases) {
    if (lease.expires_at <= now) expired.push_back(id);
  }
  for (const std::uint64_t id : expired) EndLease(board, id);
}

void DropHistory(StoreBoard* board) {
  board->history.clear();
  board->last_dropped_revision = board->last_revision;
}

std::optional<FaultMode> ParseFaultMode(const std::string& name) {
  if (name == "up") return FaultMode::kUp;
  if (name == "down") return FaultMode::kDown;
  if (name == "slow") return FaultMode::kSlow;
  if (name == "lose_answers") return FaultMode::kLoseAnswers;
  return std::nullopt;
}

}  // namespace dottereltrack::standins
