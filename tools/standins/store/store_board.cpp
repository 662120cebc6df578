#include "store/store_board.h"

namespace dottereltrack::standins {

std::uint64_t RevisionOf(const StoreBoard& board, const std::string& key) {
  const auto it = board.values.find(key);
  return it == board.values.end() ? 0 : it->second.revision;
}

PutResult Put(StoreBoard* board, const std::string& key,
              std::uint64_t expected_revision, const std::string& json,
              std::uint64_t lease) {
  const auto current = RevisionOf(*board, key);
  if (current != expected_revision) return {PutStatus::kConflict, current};
  if (lease != 0 && board->leases.count(lease) == 0) {
    return {PutStatus::kNoLease, current};
  }
  const auto revision = ++board->last_revision;
  board->values[key] = {revision, json, lease};
  return {PutStatus::kApplied, revision};
}

Lease GrantLease(StoreBoard* board, milliseconds ttl, milliseconds now) {
  const Lease lease{++board->last_lease, ttl, now + ttl};
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

std::vector<std::string> ExpireLeases(StoreBoard* board, milliseconds now) {
  std::vector<std::string> erased;
  std::erase_if(board->leases,
                [&](const auto& row) { return row.second.expires_at <= now; });
  std::erase_if(board->values, [&](const auto& row) {
    const auto lease = row.second.lease;
    const bool expired = lease != 0 && board->leases.count(lease) == 0;
    if (expired) erased.push_back(row.first);
    return expired;
  });
  return erased;
}

std::optional<FaultMode> ParseFaultMode(const std::string& name) {
  if (name == "up") return FaultMode::kUp;
  if (name == "down") return FaultMode::kDown;
  if (name == "slow") return FaultMode::kSlow;
  if (name == "lose_answers") return FaultMode::kLoseAnswers;
  return std::nullopt;
}

}  // namespace dottereltrack::standins
