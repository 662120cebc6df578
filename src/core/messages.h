#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/minion.h"
#include "core/outcome.h"

namespace dottereltrack {

// State of a task in an agent's ledger.
enum class LedgerState { kRunning, kDone, kFailed, kUnknown };

// An agent's record of one task that it started.
struct LedgerEntry {
  TaskId id;
  std::uint32_t job_size = 0;
  std::uint64_t body_digest = 0;
  LedgerState state = LedgerState::kRunning;
  // The result if done, the error text if failed or unknown.
  Bytes output;
  // The output was dropped to stay within the memory limit.
  bool output_dropped = false;
  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// Records that the job of an opaque key may have started or, if `closed`, that
// the submission is closed: its tasks that are in no ledger must never start.
struct WitnessEntry {
  SubmissionId submission;
  std::uint64_t body_digest = 0;
  bool closed = false;
  friend auto operator<=>(const WitnessEntry&, const WitnessEntry&) = default;
};

// Entry to agent: the entry's first message on a link.
struct EntryHello {
  EntryId entry;
  StoredTable table;
  StoredConfig config;
  friend bool operator==(const EntryHello&, const EntryHello&) = default;
};

// Dispatcher to agent: requests that it refuse every older fence and send its
// ledger.
struct FenceRequest {
  Fence fence;
  std::uint64_t seq = 0;
  friend bool operator==(const FenceRequest&, const FenceRequest&) = default;
};

struct TaskStart {
  TaskId id;
  std::uint32_t job_size = 0;
  std::uint64_t body_digest = 0;
  std::uint64_t minion_instance = 0;
  std::string kind;
  Bytes payload;
  Needs needs;
  // Time after which the agent stops waiting for the minion's answer.
  milliseconds timeout{0};
  friend bool operator==(const TaskStart&, const TaskStart&) = default;
};

struct Starts {
  Fence fence;
  std::uint64_t seq = 0;
  std::vector<TaskStart> tasks;
  friend bool operator==(const Starts&, const Starts&) = default;
};

struct Heartbeat {
  Fence fence;
  std::uint64_t seq = 0;
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Asks the agent to abort running tasks whose job is cancelled.
struct CancelTasks {
  Fence fence;
  std::uint64_t seq = 0;
  std::vector<TaskId> tasks;
  friend bool operator==(const CancelTasks&, const CancelTasks&) = default;
};

struct WitnessRequest {
  Fence fence;
  std::uint64_t seq = 0;
  std::vector<WitnessEntry> entries;
  friend bool operator==(const WitnessRequest&,
                         const WitnessRequest&) = default;
};

// Records of a lost or leaving agent, for another agent to store.
struct LedgerCopy {
  Fence fence;
  std::uint64_t seq = 0;
  AgentId source;
  std::vector<LedgerEntry> entries;
  std::vector<WitnessEntry> witnesses;
  friend bool operator==(const LedgerCopy&, const LedgerCopy&) = default;
};

struct ConfigUpdate {
  StoredConfig config;
  friend bool operator==(const ConfigUpdate&, const ConfigUpdate&) = default;
};

struct TableUpdate {
  StoredTable table;
  friend bool operator==(const TableUpdate&, const TableUpdate&) = default;
};

// Agent to entry: the agent's first message on a link.
struct AgentHello {
  AgentId agent;
  std::uint64_t generation = 0;
  MinionDescription minion;
  StoredConfig config;
  friend bool operator==(const AgentHello&, const AgentHello&) = default;
};

// Acknowledgement that every message from an agent to the dispatcher carries.
struct AgentAck {
  Fence fence;
  // Newest sequence number that the agent has handled under this fence.
  std::uint64_t seq = 0;
  friend auto operator<=>(const AgentAck&, const AgentAck&) = default;
};

// One part of an agent's ledger; `last` marks the final part.
struct Inventory {
  AgentAck ack;
  std::vector<LedgerEntry> entries;
  std::vector<WitnessEntry> witnesses;
  bool last = false;
  friend bool operator==(const Inventory&, const Inventory&) = default;
};

// Why an agent refused a start. Each reason proves that the task did not start.
enum class StartRefusal {
  kStaleFence,
  kStaleInstance,
  kNoSlot,
  kDraining,
  kConnectFailed,
  kTooLarge,
};

struct TaskRefused {
  TaskId id;
  Fence fence;
  StartRefusal reason = StartRefusal::kNoSlot;
  friend bool operator==(const TaskRefused&, const TaskRefused&) = default;
};

struct TaskResult {
  TaskId id;
  LedgerState state = LedgerState::kDone;
  Bytes output;
  // Time from the start on the minion until its answer.
  microseconds run_time{0};
  friend bool operator==(const TaskResult&, const TaskResult&) = default;
};

struct Results {
  AgentAck ack;
  std::vector<TaskResult> results;
  std::vector<TaskRefused> refused;
  friend bool operator==(const Results&, const Results&) = default;
};

struct HeartbeatAck {
  AgentAck ack;
  friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

struct WitnessAck {
  AgentAck ack;
  std::vector<SubmissionId> submissions;
  friend bool operator==(const WitnessAck&, const WitnessAck&) = default;
};

struct LedgerCopyAck {
  AgentAck ack;
  AgentId source;
  friend bool operator==(const LedgerCopyAck&, const LedgerCopyAck&) = default;
};

// Agent to entry: sent after each change of the minion's description.
struct MinionUpdate {
  AgentAck ack;
  MinionDescription minion;
  // The agent has finished all tasks and asks to be removed from the roster.
  bool leaving = false;
  friend bool operator==(const MinionUpdate&, const MinionUpdate&) = default;
};

// Entry to entry: first message on a link.
struct PeerHello {
  EntryId entry;
  StoredTable table;
  StoredConfig config;
  friend bool operator==(const PeerHello&, const PeerHello&) = default;
};

struct PeerHeartbeat {
  std::uint64_t generation = 0;
  friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

// Entry to dispatcher: forwards a caller's request. The request id is unique
// within the sending entry.
struct ForwardSubmit {
  std::uint64_t request_id = 0;
  Shared<SubmitRequest> request;
  friend bool operator==(const ForwardSubmit&, const ForwardSubmit&) = default;
};

struct ForwardFetch {
  std::uint64_t request_id = 0;
  SubmissionId submission;
  friend bool operator==(const ForwardFetch&, const ForwardFetch&) = default;
};

struct ForwardCancel {
  std::uint64_t request_id = 0;
  SubmissionId submission;
  friend bool operator==(const ForwardCancel&, const ForwardCancel&) = default;
};

// The job has no answer yet.
struct StillOpen {
  SubmissionId id;
  friend bool operator==(const StillOpen&, const StillOpen&) = default;
};
// What a caller gets: the answer, a refusal, or that the job is still open.
using Reply = std::variant<Answer, Refusal, StillOpen>;

// Dispatcher to entry: the reply to the forwarded request with this id.
struct ForwardReply {
  std::uint64_t request_id = 0;
  Reply reply;
  friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

using EntryToAgent =
    std::variant<EntryHello, FenceRequest, Starts, Heartbeat, CancelTasks,
                 WitnessRequest, LedgerCopy, ConfigUpdate, TableUpdate>;
using AgentToEntry = std::variant<AgentHello, Inventory, Results, HeartbeatAck,
                                  WitnessAck, LedgerCopyAck, MinionUpdate>;
using EntryToEntry =
    std::variant<PeerHello, PeerHeartbeat, ForwardSubmit, ForwardFetch,
                 ForwardCancel, ForwardReply, TableUpdate, ConfigUpdate>;

}  // namespace dottereltrack
