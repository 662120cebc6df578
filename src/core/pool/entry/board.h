#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/pool/config.h"
#include "core/pool/config_transfer.h"
#include "core/pool/entry/job_digests.h"
#include "core/pool/entry/load_rows.h"
#include "core/pool/entry/past_job.h"
#include "core/pool/entry/peer_jobs.h"
#include "core/pool/entry/pending_cancel.h"
#include "core/pool/entry/pending_submission.h"
#include "core/pool/entry/settings.h"
#include "core/pool/evacuation.h"
#include "core/pool/known_entries.h"
#include "core/pool/messages.h"
#include "core/pool/task.h"
#include "core/table.h"

namespace dottereltrack::pool {

enum class JobState {
  kActive,
  kCompleted,
  kFailed,
  // Ended without an outcome; a repeated submission runs the job again.
  kAbandoned,
};

struct JobRow {
  std::uint64_t id = 0;
  // The client's request id of the first call, for logs.
  std::string request_id;
  Bytes payload;
  // Who has submitted the job; see JobSubmitted.
  std::string source;
  // Estimate of the memory of the job without the rows of its tasks.
  std::size_t memory_bytes = 0;
  std::string queue;
  std::string service;
  int max_attempts = 1;
  JobState state = JobState::kActive;
  // Calls that get a reply when the job ends.
  std::vector<CallId> waiters;
  BootTime arrived_at{0};
  // End of the response-time goal, and time at which the callers stop waiting.
  BootTime goal_at{0};
  BootTime deadline_at{0};
  std::uint32_t open_tasks = 0;
  // A start has been sent to an agent, so the job may have begun.
  bool may_have_started = false;
  // An earlier submission of the job may have begun.
  bool may_have_run_before = false;
  BootTime ended_at{0};
  // Link to the entry that owns the job; empty if this entry does. The tasks of
  // a forwarded job have no rows, but those that this entry has started before;
  // none is started.
  std::optional<LinkId> forwarded_to;
  std::vector<StepSpec> forwarded_steps;
  // Another entry has forwarded the job to this one.
  bool is_from_peer = false;
  // The job is not to be forwarded, or not again.
  bool is_kept = false;
  // This entry announces the job to its peers.
  bool is_announced = false;
  // Link to an entry that has accepted the job, too, and is to run it for both.
  std::optional<LinkId> asked_to_take_over;

  std::uint64_t Key() const { return id; }
  friend bool operator==(const JobRow&, const JobRow&) = default;
};

enum class TaskState {
  kWaiting,
  // Sent to an agent.
  kPlaced,
  // A stop has been sent; the run has not ended yet.
  kStopping,
  // The link to the agent was lost; the run may go on until
  // `lost_run_ends_by`.
  kLost,
  kDone,
};

struct TaskRow {
  TaskKey key;
  Resources needs;
  milliseconds estimate{0};
  PlacementRules rules;
  TaskState state = TaskState::kWaiting;
  // Number of the last start; 0 before the first.
  std::uint64_t run_number = 0;
  LinkId link;
  // Minion of the last start.
  std::string minion;
  BootTime placed_at{0};
  BootTime lost_run_ends_by{0};
  int failures = 0;
  // Minions on which a run has failed or stalled.
  std::vector<std::string> failed_minions;

  const TaskKey& Key() const { return key; }
  friend bool operator==(const TaskRow&, const TaskRow&) = default;
};

// Tasks of one step with consecutive indexes that have not been started since
// their job was accepted. They get rows when they are started, so that a
// waiting job takes the same memory whatever its number of tasks.
struct UnstartedTasks {
  // The task that is started next.
  TaskKey first;
  std::uint32_t count = 0;
  Resources needs;
  milliseconds estimate{0};
  PlacementRules rules;
  // Of their job.
  std::string service;
  // Latest start that meets the goal of their job.
  BootTime latest_start{0};
  // Runs that another entry has started may go on until this time; 0 if there
  // are none.
  BootTime blocked_until{0};

  bool IsBlocked() const { return blocked_until != BootTime{0}; }

  const TaskKey& Key() const { return first; }
  friend bool operator==(const UnstartedTasks&,
                         const UnstartedTasks&) = default;
};

// A start that the agent's last load report does not cover yet.
struct UnreportedStart {
  std::uint64_t sequence = 0;
  Resources needs;
  bool is_suspect = false;
  // Size of the message, without what does not depend on the task.
  std::size_t bytes = 0;
  friend bool operator==(const UnreportedStart&,
                         const UnreportedStart&) = default;
};

// State of an agent, as received over its link.
struct AgentRow {
  LinkId link;
  Shared<AgentHello> hello;
  LoadReport load;
  // Free resources of the last report minus the starts that it does not cover.
  Resources free;
  std::vector<UnreportedStart> unreported_starts;
  std::uint64_t starts_sent = 0;
  // Interval of load reports that the agent has been asked for.
  milliseconds report_interval{0};

  const LinkId& Key() const { return link; }
  friend bool operator==(const AgentRow&, const AgentRow&) = default;
};

// Number of crashes that the runs of a task may have caused.
struct CrashCount {
  int certain = 0;
  int possible = 0;
  int Total() const { return certain + possible; }
  friend bool operator==(const CrashCount&, const CrashCount&) = default;
};

// A link of this entry to an agent or another entry.
struct LinkRow {
  LinkId id;
  // Address of the other entry, on links that this entry has dialed.
  std::optional<Endpoint> dialed_address;
  BootTime last_received_at{0};
  BootTime last_sent_at{0};
  // Value of `EvacuationRegisters::changes` up to which the other side knows
  // the evacuations.
  std::uint64_t known_evacuation_changes = 0;
  // The other side is an entry that this one announces its jobs to.
  bool wants_accepted_jobs = false;

  const LinkId& Key() const { return id; }
  friend bool operator==(const LinkRow&, const LinkRow&) = default;
};

// Work of the unstarted tasks of one service that are not blocked, in
// thousandths of a core times milliseconds.
struct UnstartedWork {
  // What starts at the same time at the latest.
  struct Part {
    std::size_t rows = 0;
    double work = 0;
    friend bool operator==(const Part&, const Part&) = default;
  };
  std::size_t rows = 0;
  double total = 0;
  // Of the tasks that can meet their goal.
  double on_time = 0;
  std::map<BootTime, Part> on_time_by_start;
  friend bool operator==(const UnstartedWork&, const UnstartedWork&) = default;
};

// Estimated memory of accepted work.
struct AcceptedMemory {
  // Of all jobs and of the tasks that have rows.
  std::size_t bytes = 0;
  // Of the open jobs of each source, without the rows of their tasks.
  std::map<std::string, std::size_t> by_source;
  friend bool operator==(const AcceptedMemory&,
                         const AcceptedMemory&) = default;
};

// The whole state of an entry. Only `Apply` modifies it.
struct EntryBoard {
  EntrySettings settings;
  PoolConfig config;
  Bytes config_text;
  // Links over which configurations have been announced or requested.
  Table<ConfigPeer> config_peers;
  ConfigFetch config_fetch;
  // No further large configuration is sent before this time.
  BootTime config_upload_ends_at{0};
  Table<JobRow> jobs;
  // Tasks that have been started, and those that wait with a history.
  Table<TaskRow> tasks;
  Table<UnstartedTasks> unstarted_tasks;
  Table<AgentRow> agents;
  Table<LinkRow> links;
  // The other entries.
  Table<KnownEntry> peers;
  EvacuationRegisters evacuations;
  // Recent crashes of minions, also those with runs of other entries.
  Table<MinionCrash> crashes;
  OverloadState overload;
  Table<OfferRow> offers;
  Table<DemandRow> demands;
  Table<ForwardedCall> forwarded_calls;
  std::uint64_t next_forwarded_call = kFirstForwardedCall;
  // Ends of jobs and cancels of the last minute.
  Table<PastJob> past_jobs;
  Table<PendingCancel> pending_cancels;
  AcceptedJobLog accepted_jobs;
  Table<PeerJobs> peer_jobs;
  Table<PendingSubmission> pending_submissions;
  // Indexes that `Apply` derives from the tables.
  std::set<std::uint64_t> active_jobs;
  std::set<std::pair<JobDigest, std::uint64_t>> active_jobs_by_digest;
  std::set<std::pair<BootTime, std::uint64_t>> ended_jobs_by_age;
  std::set<std::pair<BootTime, std::uint64_t>> past_jobs_by_age;
  // Rows of tasks that wait.
  std::set<TaskKey> waiting_tasks;
  // Number of tasks without a row.
  std::size_t unstarted_count = 0;
  // Processor needs of the waiting tasks, in thousandths of a core; one value
  // for each row of `waiting_tasks` and `unstarted_tasks`.
  std::multiset<std::int64_t> waiting_cpu_millis;
  std::set<TaskKey> lost_tasks;
  std::set<TaskKey> placed_tasks;
  // First tasks of the rows of `unstarted_tasks` that are blocked.
  std::set<TaskKey> blocked_tasks;
  std::map<std::string, UnstartedWork> unstarted_work;
  // Tasks whose latest start is before this time count as late there.
  BootTime late_before{0};
  // The job that each call waits for, also while its submission is held.
  std::map<CallId, std::uint64_t> job_by_call;
  // Numbers of open jobs that have not been started, by queue.
  std::map<std::string, std::size_t> pending_by_queue;
  AcceptedMemory accepted;
  std::map<TaskKey, CrashCount> crash_counts;
  BootTime started_at{0};
  // End of the last pause of this process.
  BootTime paused_until{0};
  bool stopping = false;
  BootTime stopping_since{0};
};

inline bool IsActiveJob(const EntryBoard& board, std::uint64_t job) {
  const JobRow* row = board.jobs.Find(job);
  return row != nullptr && row->state == JobState::kActive;
}

// The tasks of a job as a range [begin, end) of the table.
inline auto TasksOf(const EntryBoard& board, std::uint64_t job) {
  return std::pair(board.tasks.LowerBound(FirstTaskOf(job)),
                   board.tasks.UpperBound(LastTaskOf(job)));
}

}  // namespace dottereltrack::pool
