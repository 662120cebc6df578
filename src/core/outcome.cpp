#include "core/outcome.h"

#include "core/entry/board.h"
#include "core/job.h"
#include "core/messages.h"

namespace dottereltrack {

const char* ToString(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kInvalidRequest:
      return "invalid_request";
    case RefusalKind::kUnknownTeam:
      return "unknown_team";
    case RefusalKind::kKeyReused:
      return "key_reused";
    case RefusalKind::kKeyExpired:
      return "key_expired";
    case RefusalKind::kKeyInFuture:
      return "key_in_future";
    case RefusalKind::kOverloaded:
      return "overloaded";
    case RefusalKind::kQuotaExceeded:
      return "quota_exceeded";
    case RefusalKind::kDeadlineTooShort:
      return "deadline_too_short";
    case RefusalKind::kNoDispatcher:
      return "no_dispatcher";
    case RefusalKind::kStopping:
      return "stopping";
    case RefusalKind::kNotFound:
      return "not_found";
    case RefusalKind::kVersionConflict:
      return "version_conflict";
    case RefusalKind::kStoreUnavailable:
      return "store_unavailable";
    case RefusalKind::kUndecided:
      return "undecided";
  }
  return "unknown";
}

std::optional<ProofNotStarted> ProveNeverSent(const Task& task) {
  if (task.state != TaskState::kQueued) return std::nullopt;
  return ProofNotStarted(ProofNotStarted::Ground::kNeverSent);
}

std::optional<ProofNotStarted> ProveRefused(const Task& task,
                                            const TaskRefused& refusal) {
  const bool is_same_start = task.state == TaskState::kSent &&
                             task.id == refusal.id &&
                             task.fence == refusal.fence;
  if (!is_same_start) return std::nullopt;
  return ProofNotStarted(ProofNotStarted::Ground::kRefusedByAgent);
}

std::optional<ProofNotStarted> ProveAbsent(const Task& task,
                                           const InventoryStatus& inventory) {
  const bool is_fenced_later =
      task.state == TaskState::kSent && task.agent == inventory.agent &&
      task.fence < inventory.fence && inventory.complete;
  if (!is_fenced_later || inventory.reported.count(task.id) != 0) {
    return std::nullopt;
  }
  return ProofNotStarted(ProofNotStarted::Ground::kAbsentFromInventory);
}

ProofNotStarted ProveNeverAccepted() {
  return ProofNotStarted(ProofNotStarted::Ground::kNeverSent);
}

ProofNotStarted ProofFromPeer(ProofNotStarted::Ground ground) {
  return ProofNotStarted(ground);
}

}  // namespace dottereltrack
