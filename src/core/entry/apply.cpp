#include <algorithm>
#include <type_traits>

#include "core/entry/changes.h"
#include "core/entry/queue_limits.h"

namespace dottereltrack {
namespace {

template <typename Row>
Table<Row>& TableOf(EntryBoard* board) {
  if constexpr (std::is_same_v<Row, Job>) return board->jobs;
  if constexpr (std::is_same_v<Row, Task>) return board->tasks;
  if constexpr (std::is_same_v<Row, ClosedSubmission>) {
    return board->closed_submissions;
  }
  if constexpr (std::is_same_v<Row, Waiter>) return board->waiters;
  if constexpr (std::is_same_v<Row, OpenCall>) return board->open_calls;
  if constexpr (std::is_same_v<Row, AgentRow>) return board->agents;
  if constexpr (std::is_same_v<Row, InventoryStatus>) {
    return board->inventories;
  }
  if constexpr (std::is_same_v<Row, RecoveredTask>) {
    return board->recovered_tasks;
  }
  if constexpr (std::is_same_v<Row, WitnessRecord>) return board->witnesses;
  if constexpr (std::is_same_v<Row, MinionSpeed>) return board->minion_speeds;
  if constexpr (std::is_same_v<Row, MinionHealth>) return board->minion_health;
  if constexpr (std::is_same_v<Row, PeerRow>) return board->peers;
  if constexpr (std::is_same_v<Row, RecordTransfer>) {
    return board->record_transfers;
  }
  if constexpr (std::is_same_v<Row, CancelRequest>) {
    return board->cancel_requests;
  }
  if constexpr (std::is_same_v<Row, PendingConfigChange>) {
    return board->config_changes;
  }
}

bool IsOpen(const Job& job) {
  return job.state != JobState::kComplete && job.state != JobState::kFailed;
}

void AddMemory(const std::string& team, std::size_t bytes, MemoryUse* use) {
  if (bytes == 0) return;
  use->bytes += bytes;
  use->by_team[team] += bytes;
}

void SubtractMemory(const std::string& team, std::size_t bytes,
                    MemoryUse* use) {
  if (bytes == 0) return;
  use->bytes -= bytes;
  const auto of_team = use->by_team.find(team);
  of_team->second -= bytes;
  if (of_team->second == 0) use->by_team.erase(of_team);
}

std::size_t ResultBytes(const Task& task) {
  if (!task.outcome) return 0;
  if (const auto* done = std::get_if<Done>(&*task.outcome)) {
    return done->result->size();
  }
  const auto* failed = std::get_if<Failed>(&*task.outcome);
  return failed == nullptr ? 0 : failed->message.size();
}

std::size_t UnservedBytes(const OpenCall* call) {
  const bool is_counted =
      call != nullptr && !call->served_here && call->kind == CallKind::kSubmit;
  return is_counted ? MemoryOf(*call->request) : 0;
}

void IndexJob(EntryBoard* board, const Job& job) {
  AddMemory(job.team, job.memory_bytes, &board->open_jobs_memory);
  if (IsOpen(job)) {
    board->open_jobs_by_deadline.emplace(job.deadline_at, job.id);
    if (job.state == JobState::kClosing) {
      board->closing_submissions.insert(job.id);
    } else if (job.final_tasks == job.task_count) {
      board->decided_jobs.insert(job.id);
    }
  } else {
    board->ended_jobs_by_finish_time.emplace(job.finished_at, job.id);
    board->expected_end_by_job.erase(job.id);
  }
}

void UnindexJob(EntryBoard* board, const Job& job) {
  SubtractMemory(job.team, job.memory_bytes, &board->open_jobs_memory);
  board->open_jobs_by_deadline.erase({job.deadline_at, job.id});
  board->ended_jobs_by_finish_time.erase({job.finished_at, job.id});
  board->decided_jobs.erase(job.id);
  board->closing_submissions.erase(job.id);
}

void RemoveFromRecordIndex(EntryBoard* board, AgentId holder,
                           const TaskId& id) {
  const auto it = board->records_by_holder.find(holder);
  if (it == board->records_by_holder.end()) return;
  it->second.erase(id);
  if (it->second.empty()) board->records_by_holder.erase(it);
}

// Removes the task's record from the index, unless the same agent also holds it
// as a recovered task, whose row keeps it indexed.
void UnindexTaskRecord(EntryBoard* board, const Task& task) {
  const RecoveredTask* recovered = board->recovered_tasks.Find(task.id);
  if (recovered != nullptr && recovered->holder == task.holder) return;
  RemoveFromRecordIndex(board, task.holder, task.id);
}

void UnindexAgent(EntryBoard* board, const AgentId& id) {
  const AgentRow* old = board->agents.Find(id);
  if (old == nullptr) return;
  const auto it = board->agent_by_link.find(old->link);
  const bool is_indexed = it != board->agent_by_link.end() && it->second == id;
  if (is_indexed) board->agent_by_link.erase(it);
}

std::uint32_t FencedSlots(const AgentRow* agent) {
  const bool fenced = agent != nullptr && agent->phase == AgentPhase::kFenced;
  return fenced ? SlotLimit(agent->minion) : 0;
}

void UpdateFreeSlotIndex(EntryBoard* board, const AgentId& id) {
  const AgentRow* agent = board->agents.Find(id);
  const auto usage = board->usage_by_agent.find(id);
  const std::uint32_t used =
      usage == board->usage_by_agent.end() ? 0 : usage->second.slots;
  if (used < FencedSlots(agent)) {
    board->agents_with_free_slot.insert(id);
  } else {
    board->agents_with_free_slot.erase(id);
  }
}

const Needs& NeedsOf(const Job& job, const Task& task) {
  return job.body->tasks[task.id.index].needs;
}

void IndexTask(EntryBoard* board, const Task& task) {
  if (task.holder != AgentId{}) {
    board->records_by_holder[task.holder].insert(task.id);
  }
  const Job* job = board->jobs.Find(task.id.submission);
  if (job == nullptr) return;
  AddMemory(job->team, ResultBytes(task), &board->results_memory);
  if (task.state == TaskState::kUnresolved) {
    ++board->queued_tasks;
  } else if (task.state == TaskState::kQueued) {
    AddQueuedTask(*job, task.id.index, &board->queue_by_team);
    ++board->queued_tasks;
  } else if (task.state == TaskState::kSent) {
    ++board->in_progress_by_team[job->team];
    board->sent_tasks_by_agent[task.agent].insert(task.id);
    ResourceUsage& usage = board->usage_by_agent[task.agent];
    usage = UsageAfterStart(usage, NeedsOf(*job, task));
    UpdateFreeSlotIndex(board, task.agent);
    board->expected_ends_by_agent[task.agent].emplace(task.expected_end,
                                                      task.id);
    BootTime& job_end = board->expected_end_by_job[job->id];
    job_end = std::max(job_end, task.expected_end);
  }
}

void UnindexSentTask(EntryBoard* board, const Job& job, const Task& task) {
  const auto team = board->in_progress_by_team.find(job.team);
  if (--team->second == 0) board->in_progress_by_team.erase(team);
  const auto agent = board->sent_tasks_by_agent.find(task.agent);
  agent->second.erase(task.id);
  if (agent->second.empty()) board->sent_tasks_by_agent.erase(agent);
  const auto usage = board->usage_by_agent.find(task.agent);
  usage->second = UsageAfterEnd(usage->second, NeedsOf(job, task));
  if (usage->second.slots == 0) board->usage_by_agent.erase(usage);
  const auto ends = board->expected_ends_by_agent.find(task.agent);
  ends->second.erase({task.expected_end, task.id});
  if (ends->second.empty()) board->expected_ends_by_agent.erase(ends);
  UpdateFreeSlotIndex(board, task.agent);
}

void UnindexTask(EntryBoard* board, const Task& task) {
  UnindexTaskRecord(board, task);
  const Job* job = board->jobs.Find(task.id.submission);
  if (job == nullptr) return;
  SubtractMemory(job->team, ResultBytes(task), &board->results_memory);
  if (task.state == TaskState::kUnresolved) --board->queued_tasks;
  if (task.state == TaskState::kQueued) {
    RemoveQueuedTask(*job, task.id.index, &board->queue_by_team);
    --board->queued_tasks;
  }
  if (task.state == TaskState::kSent) UnindexSentTask(board, *job, task);
}

// Whether an inventory lists the task as running and no job has claimed it yet.
// Such a task occupies a slot of its minion all the same.
bool IsRunningUnclaimed(const EntryBoard& board, const TaskId& id) {
  const RecoveredTask* recovered = board.recovered_tasks.Find(id);
  if (recovered == nullptr) return false;
  if (recovered->entry.state != LedgerState::kRunning) return false;
  const Task* task = board.tasks.Find(id);
  return task == nullptr || task->state == TaskState::kUnresolved ||
         task->state == TaskState::kQueued;
}

void AddUnclaimedUsage(EntryBoard* board, const TaskId& id) {
  if (!IsRunningUnclaimed(*board, id)) return;
  const AgentId holder = board->recovered_tasks.Find(id)->holder;
  ResourceUsage& usage = board->usage_by_agent[holder];
  usage = UsageAfterStart(usage, Needs{});
  UpdateFreeSlotIndex(board, holder);
}

void RemoveUnclaimedUsage(EntryBoard* board, const TaskId& id) {
  if (!IsRunningUnclaimed(*board, id)) return;
  const AgentId holder = board->recovered_tasks.Find(id)->holder;
  const auto it = board->usage_by_agent.find(holder);
  it->second = UsageAfterEnd(it->second, Needs{});
  if (it->second.slots == 0) board->usage_by_agent.erase(it);
  UpdateFreeSlotIndex(board, holder);
}

// Applies one change to the board. A job row must be put before the task rows
// that refer to it, and erased after them.
struct Applier {
  EntryBoard* board;

  template <typename Row>
  void operator()(const Put<Row>& change) const {
    TableOf<Row>(board).Put(change.row);
  }
  template <typename Row>
  void operator()(const Erase<Row>& change) const {
    TableOf<Row>(board).Erase(change.key);
  }
  void operator()(const Put<Job>& change) const {
    if (const Job* old = board->jobs.Find(change.row.id)) {
      UnindexJob(board, *old);
    }
    board->jobs.Put(change.row);
    IndexJob(board, change.row);
  }
  void operator()(const Erase<Job>& change) const {
    if (const Job* old = board->jobs.Find(change.key)) UnindexJob(board, *old);
    board->expected_end_by_job.erase(change.key);
    board->jobs.Erase(change.key);
  }
  void operator()(const Put<Task>& change) const {
    RemoveUnclaimedUsage(board, change.row.id);
    if (const Task* old = board->tasks.Find(change.row.id)) {
      UnindexTask(board, *old);
    }
    board->tasks.Put(change.row);
    IndexTask(board, change.row);
    AddUnclaimedUsage(board, change.row.id);
  }
  void operator()(const Erase<Task>& change) const {
    RemoveUnclaimedUsage(board, change.key);
    if (const Task* old = board->tasks.Find(change.key)) {
      UnindexTask(board, *old);
    }
    board->tasks.Erase(change.key);
    AddUnclaimedUsage(board, change.key);
  }
  void operator()(const Put<AgentRow>& change) const {
    board->fenced_slots -= FencedSlots(board->agents.Find(change.row.id));
    UnindexAgent(board, change.row.id);
    board->agents.Put(change.row);
    if (change.row.phase != AgentPhase::kLost) {
      board->agent_by_link.insert_or_assign(change.row.link, change.row.id);
    }
    board->fenced_slots += FencedSlots(&change.row);
    UpdateFreeSlotIndex(board, change.row.id);
  }
  void operator()(const Erase<AgentRow>& change) const {
    board->fenced_slots -= FencedSlots(board->agents.Find(change.key));
    UnindexAgent(board, change.key);
    board->agents.Erase(change.key);
    UpdateFreeSlotIndex(board, change.key);
  }
  void operator()(const Put<RecoveredTask>& change) const {
    RemoveUnclaimedUsage(board, change.row.entry.id);
    if (const auto* old = board->recovered_tasks.Find(change.row.entry.id)) {
      RemoveFromRecordIndex(board, old->holder, old->entry.id);
    }
    board->recovered_tasks.Put(change.row);
    board->records_by_holder[change.row.holder].insert(change.row.entry.id);
    AddUnclaimedUsage(board, change.row.entry.id);
  }
  void operator()(const Erase<RecoveredTask>& change) const {
    RemoveUnclaimedUsage(board, change.key);
    if (const auto* old = board->recovered_tasks.Find(change.key)) {
      RemoveFromRecordIndex(board, old->holder, change.key);
    }
    board->recovered_tasks.Erase(change.key);
  }
  void operator()(const Put<OpenCall>& change) const {
    const OpenCall& call = change.row;
    board->unserved_bytes -= UnservedBytes(board->open_calls.Find(call.id));
    board->unserved_bytes += UnservedBytes(&call);
    board->open_calls.Put(call);
    if (call.served_here || call.forwarded_to != LinkId{}) {
      board->unrouted_calls.erase(call.id);
    } else {
      board->unrouted_calls.insert(call.id);
    }
  }
  void operator()(const Erase<OpenCall>& change) const {
    board->unserved_bytes -= UnservedBytes(board->open_calls.Find(change.key));
    board->open_calls.Erase(change.key);
    board->unrouted_calls.erase(change.key);
  }
  void operator()(const Put<WitnessRecord>& change) const {
    const SubmissionId& id = change.row.entry.submission;
    board->witnesses.Put(change.row);
    if (change.row.underreplicated) {
      board->underreplicated_witnesses.insert(id);
    } else {
      board->underreplicated_witnesses.erase(id);
    }
    if (change.row.selected.empty()) {
      board->unsent_witness_requests.erase(id);
    } else {
      board->unsent_witness_requests.insert(id);
    }
  }
  void operator()(const Erase<WitnessRecord>& change) const {
    board->witnesses.Erase(change.key);
    board->unsent_witness_requests.erase(change.key);
    board->underreplicated_witnesses.erase(change.key);
  }
  void operator()(const Put<ClosedSubmission>& change) const {
    board->closed_submissions.Put(change.row);
    if (change.row.refusal_sent) {
      board->closing_submissions.erase(change.row.id);
    } else {
      board->closing_submissions.insert(change.row.id);
    }
  }
  void operator()(const Erase<ClosedSubmission>& change) const {
    board->closed_submissions.Erase(change.key);
    board->closing_submissions.erase(change.key);
  }
  void operator()(const SetAuthority& change) const {
    board->authority = change.authority;
  }
  void operator()(const SetTable& change) const {
    board->stored_table = change.table;
    board->roster_ids.clear();
    for (const RosterAgent& agent : change.table.table.roster) {
      board->roster_ids.insert(agent.id);
    }
  }
  void operator()(const SetConfig& change) const {
    board->stored_config = change.config;
  }
  void operator()(const SetStoreStatus& change) const {
    board->store = change.status;
  }
  void operator()(const DropPendingTable&) const {
    board->store.pending_table.reset();
    board->store.write_undecided = false;
  }
  void operator()(const SetStopping& change) const {
    if (!board->stopping) board->stopping_since = change.since;
    board->stopping = true;
  }
  void operator()(const SetConfirmedDead& change) const {
    board->confirmed_dead = change.agents;
  }
  void operator()(const AdvanceArrivalSeq&) const { ++board->next_arrival_seq; }
  void operator()(const AdvanceRequestId&) const { ++board->next_request_id; }
  void operator()(const Count& change) const {
    board->counters[static_cast<std::size_t>(change.counter)] += change.n;
  }
};

}  // namespace

std::vector<EntryEffect> Apply(EntryBoard* board, EntryChanges changes) {
  return std::move(changes).ApplyTo([&](const EntryRowChange& change) {
    std::visit(Applier{board}, change);
  });
}

}  // namespace dottereltrack
