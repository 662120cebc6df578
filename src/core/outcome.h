#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/shared.h"
#include "core/time.h"

namespace dottereltrack {

struct Task;
struct TaskRefused;
struct InventoryStatus;

// Evidence that a task was never sent to a minion. Only the functions below
// create one, so code that has no evidence cannot report a task as not run.
class ProofNotStarted {
 public:
  enum class Ground { kNeverSent, kRefusedByAgent, kAbsentFromInventory };

  Ground ground() const { return ground_; }
  friend bool operator==(const ProofNotStarted&,
                         const ProofNotStarted&) = default;

 private:
  explicit ProofNotStarted(Ground ground) : ground_(ground) {}
  friend std::optional<ProofNotStarted> ProveNeverSent(const Task& task);
  friend std::optional<ProofNotStarted> ProveRefused(
      const Task& task, const TaskRefused& refusal);
  friend std::optional<ProofNotStarted> ProveAbsent(
      const Task& task, const InventoryStatus& inventory);
  friend ProofNotStarted ProveNeverAccepted();
  friend ProofNotStarted ProofFromPeer(Ground ground);

  Ground ground_;
};

// The task ran and the minion answered with success.
struct Done {
  Bytes result;
  friend bool operator==(const Done&, const Done&) = default;
};

// The task started and the minion reported an error.
struct Failed {
  std::string message;
  friend bool operator==(const Failed&, const Failed&) = default;
};

// The task did not start and never will.
struct NotRun {
  std::string reason;
  ProofNotStarted proof;
  friend bool operator==(const NotRun&, const NotRun&) = default;
};

// The task may or may not have run.
struct Unknown {
  std::string reason;
  friend bool operator==(const Unknown&, const Unknown&) = default;
};

using TaskOutcome = std::variant<Done, Failed, NotRun, Unknown>;

// Why a request was refused. ToString returns the stable code for callers.
enum class RefusalKind {
  kInvalidRequest,
  kUnknownTeam,
  kKeyReused,
  kKeyExpired,
  kKeyInFuture,
  kOverloaded,
  kQuotaExceeded,
  kDeadlineTooShort,
  kNoDispatcher,
  kStopping,
  kNotFound,
  kVersionConflict,
  kStoreUnavailable,
  kUndecided,
};

// Returns the stable code of a refusal, as callers see it.
const char* ToString(RefusalKind kind);

// A request that was not served. With a proof, its tasks are reported as
// not_run; without one, as unknown. The message says how to resolve the
// problem.
struct Refusal {
  RefusalKind kind = RefusalKind::kInvalidRequest;
  std::string message;
  std::optional<ProofNotStarted> not_run;
  std::optional<milliseconds> retry_after;
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// Succeeds for a task that is still queued and was therefore never sent.
std::optional<ProofNotStarted> ProveNeverSent(const Task& task);

// Succeeds if the agent refused the newest start of the task, under its fence.
std::optional<ProofNotStarted> ProveRefused(const Task& task,
                                            const TaskRefused& refusal);

// Succeeds if the agent was fenced after the start was sent and its complete
// inventory does not contain the task.
std::optional<ProofNotStarted> ProveAbsent(const Task& task,
                                           const InventoryStatus& inventory);

// For a request that is refused before any of its tasks is created.
ProofNotStarted ProveNeverAccepted();

// Restores a proof that another process of the cell created and sent. Only a
// codec may call this, for a message that contains the proof.
ProofNotStarted ProofFromPeer(ProofNotStarted::Ground ground);

}  // namespace dottereltrack
