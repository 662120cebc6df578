#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/entry/capacity.h"
#include "core/entry/job_queue.h"
#include "core/entry/settings.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/messages.h"
#include "core/minion.h"
#include "core/table.h"
#include "core/time.h"

namespace dottereltrack {

// State of an agent as this entry sees it: connected, a fence was requested,
// the fence is in force and the inventory read, or the connection is lost.
enum class AgentPhase { kConnected, kFencing, kFenced, kLost };

// A message to an agent that has not been acknowledged yet. An acknowledgement
// extends the dispatcher's authority, counted from the time of sending.
struct UnackedMessage {
  std::uint64_t seq = 0;
  BootTime sent_at{0};
  friend auto operator<=>(const UnackedMessage&,
                          const UnackedMessage&) = default;
};

// State of one agent incarnation, that is, one run of an agent process.
struct AgentRow {
  AgentId id;
  LinkId link;
  AgentPhase phase = AgentPhase::kConnected;
  MinionDescription minion;
  // Newest fence sent to the agent.
  Fence fence;
  std::uint64_t next_seq = 1;
  // Messages not yet acknowledged, oldest first.
  std::vector<UnackedMessage> unacked;
  // Send time of the newest acknowledged message; zero before the first
  // acknowledgement.
  BootTime acked_sent_at{0};
  BootTime last_sent_at{0};
  BootTime lost_at{0};
  // The agent has finished its tasks and asks to be removed from the roster.
  bool leaving = false;
  // Other agents hold all records of this one, which gets no more tasks and is
  // about to be removed from the roster.
  bool records_transferred = false;

  const AgentId& Key() const { return id; }
  friend bool operator==(const AgentRow&, const AgentRow&) = default;
};

// Progress of reading an agent's inventory, the contents of its ledger, under
// one fence.
struct InventoryStatus {
  AgentId agent;
  Fence fence;
  bool complete = false;
  // Tasks that the inventory has listed so far.
  std::set<TaskId> reported;

  const AgentId& Key() const { return agent; }
  friend bool operator==(const InventoryStatus&,
                         const InventoryStatus&) = default;
};

// A task that an agent listed in its inventory.
struct RecoveredTask {
  LedgerEntry entry;
  AgentId holder;
  BootTime seen_at{0};

  const TaskId& Key() const { return entry.id; }
  friend bool operator==(const RecoveredTask&, const RecoveredTask&) = default;
};

// A request to store a witness entry that an agent has not acknowledged yet.
struct PendingWitnessRequest {
  Fence fence;
  std::uint64_t seq = 0;
  BootTime sent_at{0};
  friend auto operator<=>(const PendingWitnessRequest&,
                          const PendingWitnessRequest&) = default;
};

// A note, stored by agents in different racks, that a submission exists or is
// closed. A later dispatcher learns from it that tasks may have started.
// Created by this dispatcher or read from an inventory.
struct WitnessRecord {
  WitnessEntry entry;
  // Stored in fewer racks than required; the job or reply that depends on the
  // record waits.
  bool underreplicated = false;
  BootTime underreplicated_since{0};
  // Listed by an inventory, so an earlier dispatcher may have started tasks of
  // the submission.
  bool found_in_inventory = false;
  // Agents selected to store the entry, to which no request has been sent yet.
  std::set<AgentId> selected;
  // Requests that have been sent and not acknowledged, by agent.
  std::map<AgentId, PendingWitnessRequest> pending_requests;
  // Agents that store this entry or the earlier, open entry of the submission.
  std::set<AgentId> holders;
  // Agents that store exactly this entry.
  std::set<AgentId> confirmed;
  BootTime seen_at{0};

  const SubmissionId& Key() const { return entry.submission; }
  friend bool operator==(const WitnessRecord&, const WitnessRecord&) = default;
};

// Measured run times relative to expected ones. A row with both names covers
// one kind of work on one minion, relative to the declared time. A row with
// only a kind covers that kind on all minions. A row with only a minion covers
// that minion relative to the rows that cover the kinds.
struct MinionSpeed {
  std::string minion;
  std::string kind;
  // Average of run time divided by expected time, weighted by expected time.
  // Below 1 means faster than expected.
  double time_ratio = 1.0;
  // Total expected time that the average covers, in seconds; it decays.
  double weight_seconds = 0.0;
  BootTime updated_at{0};

  std::pair<std::string, std::string> Key() const { return {minion, kind}; }
  friend bool operator==(const MinionSpeed&, const MinionSpeed&) = default;
};

// Recent results of one minion, and whether it is ejected (excluded from
// placement). The row with an empty name covers the whole cell.
struct MinionHealth {
  std::string minion;
  // Counts of results; older results weigh less.
  double failures = 0.0;
  double successes = 0.0;
  // Consecutive failures since the latest success.
  std::uint32_t consecutive_failures = 0;
  bool ejected = false;
  // Probes since the ejection, failed and successful.
  std::uint32_t failed_probes = 0;
  std::uint32_t successful_probes = 0;
  BootTime updated_at{0};
  BootTime next_probe_at{0};

  const std::string& Key() const { return minion; }
  friend bool operator==(const MinionHealth&, const MinionHealth&) = default;
};

// Another entry process of the cell.
struct PeerRow {
  EntryId id;
  // Either side may dial, so there can be two connections.
  std::set<LinkId> links;
  BootTime last_heard_at{0};
  BootTime last_sent_at{0};
  // When the last connection was lost; meaningful only while `links` is empty.
  BootTime lost_at{0};
  bool dialing = false;
  // The latest dial since the connection was lost has failed.
  bool dial_failed = false;
  BootTime next_dial_at{0};

  const EntryId& Key() const { return id; }
  friend bool operator==(const PeerRow&, const PeerRow&) = default;
};

// A request that another entry forwarded to this dispatcher.
struct PeerRequest {
  EntryId entry;
  LinkId link;
  std::uint64_t request_id = 0;
  friend auto operator<=>(const PeerRequest&, const PeerRequest&) = default;
};

// The recipient of a reply: a caller of this entry, or another entry.
using ReplyTo = std::variant<CallId, PeerRequest>;

// A recipient that waits for the answer to a submission. Kept by the
// dispatcher.
struct Waiter {
  SubmissionId submission;
  ReplyTo reply_to;

  std::pair<SubmissionId, ReplyTo> Key() const {
    return {submission, reply_to};
  }
  friend bool operator==(const Waiter&, const Waiter&) = default;
};

// A transfer, in progress, of the records of a departed agent to another agent.
struct RecordTransfer {
  AgentId source;
  AgentId target;
  Fence target_fence;
  std::uint32_t unacked_parts = 0;

  const AgentId& Key() const { return source; }
  friend bool operator==(const RecordTransfer&,
                         const RecordTransfer&) = default;
};

// A running task whose agent must be told to abandon it.
struct CancelRequest {
  TaskId id;
  AgentId agent;

  const TaskId& Key() const { return id; }
  friend bool operator==(const CancelRequest&, const CancelRequest&) = default;
};

enum class CallKind { kSubmit, kFetch, kCancel };

// An unanswered call from a caller of this entry.
struct OpenCall {
  CallId id;
  CallKind kind = CallKind::kSubmit;
  SubmissionId submission;
  // Set only for `kSubmit`.
  Shared<SubmitRequest> request;
  bool key_made_here = false;
  BootTime opened_at{0};
  // Link to the dispatcher to which the call was forwarded; zero if none.
  LinkId forwarded_to;
  std::uint64_t request_id = 0;
  // This entry is the dispatcher and serves the call itself.
  bool served_here = false;
  // The call has been passed to a dispatcher, this entry or another, at least
  // once.
  bool ever_routed = false;

  const CallId& Key() const { return id; }
  friend bool operator==(const OpenCall&, const OpenCall&) = default;
};

// A submission that was refused and closed without a job.
struct ClosedSubmission {
  SubmissionId id;
  Refusal refusal;
  BootTime closed_at{0};
  // The refusal has been sent, after witnesses recorded the closed submission
  // or the wait for them timed out.
  bool refusal_sent = false;

  const SubmissionId& Key() const { return id; }
  friend bool operator==(const ClosedSubmission&,
                         const ClosedSubmission&) = default;
};

enum class Role { kMember, kTakingOver, kDispatcher };

// This entry's role in the cell and, if it dispatches or takes over, the state
// of its authority to start tasks.
struct Authority {
  Role role = Role::kMember;
  std::uint64_t generation = 0;
  // When this entry began its takeover, by the boot clock and the wall clock.
  BootTime takeover_started_boot{0};
  WallTime takeover_started_wall{0};
  // An earlier dispatcher cannot have started tasks whose key was issued after
  // this time. It is the end of the wait for inventories, because until then an
  // earlier dispatcher may still start tasks on agents that are not fenced.
  WallTime earlier_starts_until_wall{0};
  // Newest generation seen in the table, and when it was first seen.
  std::uint64_t seen_generation = 0;
  BootTime seen_since{0};
  // When a majority of the roster was first fenced under this generation.
  std::optional<BootTime> majority_fenced_at;
  // Agents that were in the roster at the takeover and whose inventory has not
  // been read yet.
  std::set<AgentId> agents_without_inventory;
  // The takeover is complete: the conditions for placing tasks have been met
  // under this generation.
  bool inventory_settled = false;
  std::uint64_t next_session = 1;
  friend bool operator==(const Authority&, const Authority&) = default;
};

// State of the store as this entry sees it, and the entry's own store calls.
struct StoreStatus {
  // The table of a write that is in flight or whose outcome is unknown.
  std::optional<CellTable> pending_table;
  // A write is in flight. At most one is, so that a result always belongs to
  // the newest write.
  bool write_in_flight = false;
  // The result of a write was lost, so the pending table may still take effect.
  bool write_undecided = false;
  bool read_pending = false;
  // The store has been read at least once.
  bool table_known = false;
  BootTime next_try_at{0};
  std::uint32_t failures = 0;
  // When this entry last added itself to the members.
  BootTime joined_at{0};
  friend bool operator==(const StoreStatus&, const StoreStatus&) = default;
};

// An operator's configuration change that has not been answered yet.
struct PendingConfigChange {
  CallId call;
  CellConfig config;
  std::uint64_t expected_revision = 0;
  BootTime started_at{0};
  // The result of the write was lost. Reading the value back or writing it
  // again shows whether it took effect.
  bool undecided = false;
  BootTime next_try_at{0};

  const CallId& Key() const { return call; }
  friend bool operator==(const PendingConfigChange&,
                         const PendingConfigChange&) = default;
};

// Events that the entry counts, for metrics and tests.
enum class Counter {
  kJobsAccepted,
  kJobsComplete,
  kJobsFailed,
  kRefusals,
  kStartsSent,
  kStartsRefused,
  kResults,
  kOutcomesUnknown,
  kForeignRepliesDropped,
  kLateResultsDropped,
  kStaleLinkMessagesDropped,
  kTakeovers,
  kStepDowns,
  kHeartbeatsSent,
  kForwards,
  kWitnessRequests,
  kLedgerCopies,
  kStoreCalls,
  kMessagesToAgents,
  kMessagesToPeers,
};

// Number of counters, for arrays indexed by Counter.
inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kMessagesToPeers) + 1;

// Bytes in total and of each team.
struct MemoryUse {
  std::size_t bytes = 0;
  std::map<std::string, std::size_t> by_team;

  std::size_t Of(const std::string& team) const {
    const auto it = by_team.find(team);
    return it == by_team.end() ? 0 : it->second;
  }
  friend bool operator==(const MemoryUse&, const MemoryUse&) = default;
};

// The complete state of an entry. Only `Apply` modifies it.
struct EntryBoard {
  EntrySettings settings;
  Authority authority;
  StoredTable stored_table;
  StoredConfig stored_config;
  StoreStatus store;
  bool stopping = false;
  BootTime stopping_since{0};
  std::uint64_t next_arrival_seq = 1;
  std::uint64_t next_request_id = 1;

  Table<Job> jobs;
  Table<Task> tasks;
  Table<ClosedSubmission> closed_submissions;
  Table<Waiter> waiters;
  Table<OpenCall> open_calls;
  Table<AgentRow> agents;
  Table<InventoryStatus> inventories;
  Table<RecoveredTask> recovered_tasks;
  Table<WitnessRecord> witnesses;
  Table<MinionSpeed> minion_speeds;
  Table<MinionHealth> minion_health;
  Table<PeerRow> peers;
  Table<PendingConfigChange> config_changes;
  Table<CancelRequest> cancel_requests;
  Table<RecordTransfer> record_transfers;
  // Agents that an operator has declared dead and that the table still lists.
  std::set<AgentId> confirmed_dead;

  // Indexes that `Apply` derives from the tables above.
  TeamQueues queue_by_team;
  std::size_t queued_tasks = 0;
  // Estimated memory of the open jobs, and the results of all tasks.
  MemoryUse open_jobs_memory;
  MemoryUse results_memory;
  // Estimated memory of the submissions that this entry does not serve itself.
  std::size_t unserved_bytes = 0;
  std::map<std::string, std::uint32_t> in_progress_by_team;
  std::map<AgentId, std::set<TaskId>> sent_tasks_by_agent;
  std::map<AgentId, ResourceUsage> usage_by_agent;
  // Expected ends of tasks in progress.
  std::map<AgentId, std::set<std::pair<BootTime, TaskId>>>
      expected_ends_by_agent;
  // Latest expected end among the tasks that an open job has had started.
  std::map<SubmissionId, BootTime> expected_end_by_job;
  // Fenced agents with a free slot.
  std::set<AgentId> agents_with_free_slot;
  // Slots of all fenced agents.
  std::uint64_t fenced_slots = 0;
  std::set<AgentId> roster_ids;
  // Excludes lost agents.
  std::map<LinkId, AgentId> agent_by_link;
  std::set<std::pair<BootTime, SubmissionId>> open_jobs_by_deadline;
  std::set<std::pair<BootTime, SubmissionId>> ended_jobs_by_finish_time;
  // Open jobs all of whose tasks have an outcome.
  std::set<SubmissionId> decided_jobs;
  // Tasks with a record in a ledger, by the agent that holds it.
  std::map<AgentId, std::set<TaskId>> records_by_holder;
  // Calls that no dispatcher is serving.
  std::set<CallId> unrouted_calls;
  // Witness records with requests still to be sent.
  std::set<SubmissionId> unsent_witness_requests;
  // Witness records that are stored in fewer racks than required.
  std::set<SubmissionId> underreplicated_witnesses;
  // Jobs and refusals whose reply waits until witnesses have recorded that the
  // submission is closed.
  std::set<SubmissionId> closing_submissions;

  std::array<std::uint64_t, kCounterCount> counters{};
};

}  // namespace dottereltrack
