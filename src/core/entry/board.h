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

// How far the dispatcher has come with fencing an agent.
enum class AgentPhase { kConnected, kFencing, kFenced, kLost };

// A message to an agent whose acknowledgement proves authority.
struct SentMark {
  std::uint64_t seq = 0;
  BootTime sent_at{0};
  friend auto operator<=>(const SentMark&, const SentMark&) = default;
};

// What an entry knows of one agent incarnation.
struct AgentRow {
  AgentId id;
  LinkId link;
  AgentPhase phase = AgentPhase::kConnected;
  MinionDescription minion;
  // Newest fence sent to the agent.
  Fence fence;
  std::uint64_t next_seq = 1;
  // Marks not yet acknowledged, oldest first.
  std::vector<SentMark> unacked;
  // When the newest acknowledged message was sent; zero before the first.
  BootTime acked_sent_at{0};
  BootTime last_sent_at{0};
  BootTime lost_at{0};
  // The agent has finished its tasks and wants to leave the roster.
  bool leaving = false;
  // Another agent holds all records of this one, which takes no more work.
  bool reprotected = false;

  const AgentId& Key() const { return id; }
  friend bool operator==(const AgentRow&, const AgentRow&) = default;
};

// The tasks that an agent has named in its inventory under one fence.
struct InventoryStatus {
  AgentId agent;
  Fence fence;
  bool complete = false;
  std::set<TaskId> reported;

  const AgentId& Key() const { return agent; }
  friend bool operator==(const InventoryStatus&,
                         const InventoryStatus&) = default;
};

// A task that an agent's ledger named in an inventory.
struct RecoveredTask {
  LedgerEntry entry;
  AgentId holder;
  BootTime seen_at{0};

  const TaskId& Key() const { return entry.id; }
  friend bool operator==(const RecoveredTask&, const RecoveredTask&) = default;
};

// A request to an agent to record a witness entry.
struct WitnessAsk {
  Fence fence;
  std::uint64_t seq = 0;
  BootTime sent_at{0};
  friend auto operator<=>(const WitnessAsk&, const WitnessAsk&) = default;
};

// A witness record of this dispatcher or from an inventory.
struct WitnessRecord {
  WitnessEntry entry;
  // Not yet recorded in enough racks; what depends on the record waits.
  bool waiting = false;
  BootTime waiting_since{0};
  // An inventory named it, so an earlier dispatcher may have started tasks.
  bool recovered = false;
  // Agents that are still to be asked.
  std::set<AgentId> chosen;
  // Agents that have been asked and have not answered.
  std::map<AgentId, WitnessAsk> asked;
  // Agents that have recorded this entry or the open one before it.
  std::set<AgentId> holders;
  // Agents that have recorded this very entry.
  std::set<AgentId> confirmed;
  BootTime seen_at{0};

  const SubmissionId& Key() const { return entry.submission; }
  friend bool operator==(const WitnessRecord&, const WitnessRecord&) = default;
};

// What has been learned of run times. A row with both names is of one minion
// and one kind of work, relative to the declared time. A row with a kind only
// is of that kind on all minions. A row with a minion only is of that minion
// relative to the rows of the kinds.
struct MinionSpeed {
  std::string minion;
  std::string kind;
  // Average of run time over expected time, weighted by the latter; below 1 is
  // fast.
  double time_ratio = 1.0;
  // Expected time that the average covers, decaying, in seconds.
  double weight = 0.0;
  BootTime updated_at{0};

  std::pair<std::string, std::string> Key() const { return {minion, kind}; }
  friend bool operator==(const MinionSpeed&, const MinionSpeed&) = default;
};

// Recent failures of one minion, and whether it is ejected. The row without a
// name stands for the whole cell.
struct MinionHealth {
  std::string minion;
  // Decaying counts of results.
  double failures = 0.0;
  double successes = 0.0;
  // Failures since the newest success.
  std::uint32_t streak = 0;
  bool ejected = false;
  // Probes since the ejection, failed and successful.
  std::uint32_t failed_probes = 0;
  std::uint32_t good_probes = 0;
  BootTime updated_at{0};
  BootTime next_probe_at{0};

  const std::string& Key() const { return minion; }
  friend bool operator==(const MinionHealth&, const MinionHealth&) = default;
};

// Another entry of the cell.
struct PeerRow {
  EntryId id;
  // Both sides may dial, so two entries can have two connections.
  std::set<LinkId> links;
  BootTime last_heard_at{0};
  BootTime last_sent_at{0};
  // Since when there has been no connection; meaningful without links.
  BootTime lost_at{0};
  bool dialing = false;
  // The newest dial since the connection was lost has failed.
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

// Who gets the reply: a caller of this entry, or another entry.
using ReplyTo = std::variant<CallId, PeerRequest>;

// One open request for the answer of a submission, held by the dispatcher.
struct Waiter {
  SubmissionId submission;
  ReplyTo reply_to;

  std::pair<SubmissionId, ReplyTo> Key() const {
    return {submission, reply_to};
  }
  friend bool operator==(const Waiter&, const Waiter&) = default;
};

// A copy of the records of an agent that is gone, under way to another agent.
struct Reprotection {
  AgentId source;
  AgentId target;
  Fence target_fence;
  std::uint32_t unacked_parts = 0;

  const AgentId& Key() const { return source; }
  friend bool operator==(const Reprotection&, const Reprotection&) = default;
};

// A running task that its agent is to be told to abandon.
struct CancelRequest {
  TaskId id;
  AgentId agent;

  const TaskId& Key() const { return id; }
  friend bool operator==(const CancelRequest&, const CancelRequest&) = default;
};

enum class CallKind { kSubmit, kFetch, kCancel };

// One open call of a caller of this entry.
struct OpenCall {
  CallId id;
  CallKind kind = CallKind::kSubmit;
  SubmissionId submission;
  // Set for submissions.
  Shared<SubmitRequest> request;
  bool key_made_here = false;
  BootTime opened_at{0};
  // Link to the dispatcher that has the request; zero while none has it.
  LinkId forwarded_to;
  std::uint64_t request_id = 0;
  // This entry, as dispatcher, has taken the call.
  bool served_here = false;
  // A dispatcher, here or elsewhere, has had the request at least once.
  bool ever_routed = false;

  const CallId& Key() const { return id; }
  friend bool operator==(const OpenCall&, const OpenCall&) = default;
};

// A submission that is closed without a job, with the refusal that was given.
struct ClosedSubmission {
  SubmissionId id;
  Refusal refusal;
  BootTime closed_at{0};
  // Witnesses have recorded it, so the refusal may go out.
  bool told = false;

  const SubmissionId& Key() const { return id; }
  friend bool operator==(const ClosedSubmission&,
                         const ClosedSubmission&) = default;
};

enum class Role { kMember, kTakingOver, kDispatcher };

// This entry's part in the cell and, if it dispatches, its authority.
struct Authority {
  Role role = Role::kMember;
  std::uint64_t generation = 0;
  // When this entry became dispatcher, by both clocks.
  BootTime since_boot{0};
  WallTime since_wall{0};
  // No earlier dispatcher can have started a key that was issued later. It is
  // the end of the wait for ledgers, because until then an earlier dispatcher
  // may still start tasks on agents that are not fenced.
  WallTime fresh_after_wall{0};
  // Newest generation seen in the table, and since when.
  std::uint64_t seen_generation = 0;
  BootTime seen_since{0};
  // When a majority of the roster was first fenced under this generation.
  std::optional<BootTime> majority_at;
  // Roster agents of the takeover whose ledger has not been read yet.
  std::set<AgentId> uninventoried;
  // All conditions for placing tasks were met once under this generation.
  bool inventory_settled = false;
  std::uint64_t next_session = 1;
  friend bool operator==(const Authority&, const Authority&) = default;
};

// What an entry knows of the store and of its own calls under way.
struct StoreStatus {
  // The table as written by a call that is under way or undecided.
  std::optional<CellTable> pending_table;
  // A write has been sent and its answer is due. No other is sent meanwhile,
  // so that an answer always belongs to the newest write.
  bool write_under_way = false;
  // An answer was lost, so the pending table may yet take effect.
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

// An operator's configuration change under way.
struct PendingConfigChange {
  CallId call;
  CellConfig config;
  std::uint64_t expected_revision = 0;
  BootTime started_at{0};
  // The write's answer is lost; reading back or writing again will tell.
  bool undecided = false;
  BootTime next_try_at{0};

  const CallId& Key() const { return call; }
  friend bool operator==(const PendingConfigChange&,
                         const PendingConfigChange&) = default;
};

// What the entry counts, for metrics and checks.
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

// The whole state of an entry. Only `Apply` alters it.
struct EntryBoard {
  EntrySettings settings;
  Authority authority;
  StoredTable table;
  StoredConfig config;
  StoreStatus store;
  bool stopping = false;
  BootTime stopping_since{0};
  std::uint64_t next_arrival_seq = 1;
  std::uint64_t next_request_id = 1;

  Table<Job> jobs;
  Table<Task> tasks;
  Table<ClosedSubmission> closed;
  Table<Waiter> waiters;
  Table<OpenCall> calls;
  Table<AgentRow> agents;
  Table<InventoryStatus> inventories;
  Table<RecoveredTask> recovered;
  Table<WitnessRecord> witnesses;
  Table<MinionSpeed> speeds;
  Table<MinionHealth> health;
  Table<PeerRow> peers;
  Table<PendingConfigChange> config_changes;
  Table<CancelRequest> cancels;
  Table<Reprotection> reprotections;
  // Agents that an operator has declared dead and that the table still lists.
  std::set<AgentId> confirmed_dead;

  // Indexes that `Apply` derives from the tables above.
  TeamQueues queue_by_team;
  std::size_t queued_tasks = 0;
  std::map<std::string, std::uint32_t> in_progress_by_team;
  std::map<AgentId, std::set<TaskId>> sent_by_agent;
  std::map<AgentId, ResourceUsage> usage_by_agent;
  // Expected ends of started tasks.
  std::map<AgentId, std::set<std::pair<BootTime, TaskId>>> ends_by_agent;
  // The latest of an open job's started tasks.
  std::map<SubmissionId, BootTime> expected_end_by_job;
  // Fenced agents with a free slot.
  std::set<AgentId> agents_with_room;
  // Slots of all fenced agents.
  std::uint64_t fenced_slots = 0;
  std::set<AgentId> roster_ids;
  // Agents that are not lost.
  std::map<LinkId, AgentId> agent_by_link;
  std::set<std::pair<BootTime, SubmissionId>> open_by_deadline;
  std::set<std::pair<BootTime, SubmissionId>> final_by_age;
  // Open jobs all of whose tasks have an outcome.
  std::set<SubmissionId> decided_jobs;
  // Tasks with a record, by the agent that holds it.
  std::map<AgentId, std::set<TaskId>> records_by_holder;
  // Calls that no dispatcher has.
  std::set<CallId> waiting_calls;
  // Witness records with agents that are still to be asked.
  std::set<SubmissionId> unsent_witnesses;
  // Witness records that are not yet in enough racks.
  std::set<SubmissionId> waiting_witnesses;
  // Jobs and refusals whose answer waits until the submission is closed.
  std::set<SubmissionId> closing;

  std::array<std::uint64_t, kCounterCount> counters{};
};

}  // namespace dottereltrack
