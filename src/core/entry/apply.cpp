#include <algorithm>
#include <type_traits>

#include "core/entry/changes.h"

namespace dottereltrack {
namespace {

template <typename Row>
Table<Row>& TableOf(EntryBoard* board) {
  if constexpr (std::is_same_v<Row, Job>) return board->jobs;
  if constexpr (std::is_same_v<Row, Task>) return board->tasks;
  if constexpr (std::is_same_v<Row, ClosedSubmission>) return board->closed;
  if constexpr (std::is_same_v<Row, Waiter>) return board->waiters;
  if constexpr (std::is_same_v<Row, OpenCall>) return board->calls;
  if constexpr (std::is_same_v<Row, AgentRow>) return board->agents;
  if constexpr (std::is_same_v<Row, InventoryStatus>) {
    return board->inventories;
  }
  if constexpr (std::is_same_v<Row, RecoveredTask>) return board->recovered;
  if constexpr (std::is_same_v<Row, WitnessRecord>) return board->witnesses;
  if constexpr (std::is_same_v<Row, MinionSpeed>) return board->speeds;
  if constexpr (std::is_same_v<Row, MinionHealth>) return board->health;
  if constexpr (std::is_same_v<Row, PeerRow>) return board->peers;
  if constexpr (std::is_same_v<Row, Reprotection>) {
    return board->reprotections;
  }
  if constexpr (std::is_same_v<Row, CancelRequest>) return board->cancels;
  if constexpr (std::is_same_v<Row, PendingConfigChange>) {
    return board->config_changes;
  }
}

bool IsOpen(const Job& job) {
  return job.state != JobState::kComplete && job.state != JobState::kFailed;
}

void IndexJob(EntryBoard* board, const Job& job) {
  if (IsOpen(job)) {
    board->open_by_deadline.emplace(job.deadline_at, job.id);
    if (job.state == JobState::kClosing) {
      board->closing.insert(job.id);
    } else if (job.final_tasks == job.task_count) {
      board->decided_jobs.insert(job.id);
    }
  } else {
    board->final_by_age.emplace(job.finished_at, job.id);
    board->expected_end_by_job.erase(job.id);
  }
}

void UnindexJob(EntryBoard* board, const Job& job) {
  board->open_by_deadline.erase({job.deadline_at, job.id});
  board->final_by_age.erase({job.finished_at, job.id});
  board->decided_jobs.erase(job.id);
  board->closing.erase(job.id);
}

void RemoveRecord(EntryBoard* board, AgentId holder, const TaskId& id) {
  const auto it = board->records_by_holder.find(holder);
  if (it == board->records_by_holder.end()) return;
  it->second.erase(id);
  if (it->second.empty()) board->records_by_holder.erase(it);
}

// A record that an inventory named stays indexed by its own row.
void RemoveTaskRecord(EntryBoard* board, const Task& task) {
  const RecoveredTask* recovered = board->recovered.Find(task.id);
  if (recovered != nullptr && recovered->holder == task.holder) return;
  RemoveRecord(board, task.holder, task.id);
}

void UnindexAgent(EntryBoard* board, const AgentId& id) {
  const AgentRow* old = board->agents.Find(id);
  if (old == nullptr) return;
  const auto it = board->agent_by_link.find(old->link);
  const bool ours = it != board->agent_by_link.end() && it->second == id;
  if (ours) board->agent_by_link.erase(it);
}

std::uint32_t FencedSlots(const AgentRow* agent) {
  const bool fenced = agent != nullptr && agent->phase == AgentPhase::kFenced;
  return fenced ? SlotLimit(agent->minion) : 0;
}

void IndexRoom(EntryBoard* board, const AgentId& id) {
  const AgentRow* agent = board->agents.Find(id);
  const auto usage = board->usage_by_agent.find(id);
  const std::uint32_t used =
      usage == board->usage_by_agent.end() ? 0 : usage->second.slots;
  if (used < FencedSlots(agent)) {
    board->agents_with_room.insert(id);
  } else {
    board->agents_with_room.erase(id);
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
  if (task.state == TaskState::kUnresolved) {
    ++board->queued_tasks;
  } else if (task.state == TaskState::kQueued) {
    AddQueuedTask(*job, task.id.index, &board->queue_by_team);
    ++board->queued_tasks;
  } else if (task.state == TaskState::kSent) {
    ++board->in_progress_by_team[job->team];
    board->sent_by_agent[task.agent].insert(task.id);
    Usage& usage = board->usage_by_agent[task.agent];
    usage = Plus(usage, NeedsOf(*job, task));
    IndexRoom(board, task.agent);
    board->ends_by_agent[task.agent].emplace(task.expected_end, task.id);
    BootTime& job_end = board->expected_end_by_job[job->id];
    job_end = std::max(job_end, task.expected_end);
  }
}

void UnindexSent(EntryBoard* board, const Job& job, const Task& task) {
  const auto team = board->in_progress_by_team.find(job.team);
  if (--team->second == 0) board->in_progress_by_team.erase(team);
  const auto agent = board->sent_by_agent.find(task.agent);
  agent->second.erase(task.id);
  if (agent->second.empty()) board->sent_by_agent.erase(agent);
  const auto usage = board->usage_by_agent.find(task.agent);
  usage->second = Minus(usage->second, NeedsOf(job, task));
  if (usage->second.slots == 0) board->usage_by_agent.erase(usage);
  const auto ends = board->ends_by_agent.find(task.agent);
  ends->second.erase({task.expected_end, task.id});
  if (ends->second.empty()) board->ends_by_agent.erase(ends);
  IndexRoom(board, task.agent);
}

void UnindexTask(EntryBoard* board, const Task& task) {
  RemoveTaskRecord(board, task);
  const Job* job = board->jobs.Find(task.id.submission);
  if (job == nullptr) return;
  if (task.state == TaskState::kUnresolved) --board->queued_tasks;
  if (task.state == TaskState::kQueued) {
    RemoveQueuedTask(*job, task.id.index, &board->queue_by_team);
    --board->queued_tasks;
  }
  if (task.state == TaskState::kSent) UnindexSent(board, *job, task);
}

// Whether an inventory names the task as running and no job has it yet. It
// takes a slot of its minion all the same.
bool RunsUnclaimed(const EntryBoard& board, const TaskId& id) {
  const RecoveredTask* recovered = board.recovered.Find(id);
  if (recovered == nullptr) return false;
  if (recovered->entry.state != LedgerState::kRunning) return false;
  const Task* task = board.tasks.Find(id);
  return task == nullptr || task->state == TaskState::kUnresolved ||
         task->state == TaskState::kQueued;
}

void AddUnclaimedUsage(EntryBoard* board, const TaskId& id) {
  if (!RunsUnclaimed(*board, id)) return;
  const AgentId holder = board->recovered.Find(id)->holder;
  Usage& usage = board->usage_by_agent[holder];
  usage = Plus(usage, Needs{});
  IndexRoom(board, holder);
}

void RemoveUnclaimedUsage(EntryBoard* board, const TaskId& id) {
  if (!RunsUnclaimed(*board, id)) return;
  const AgentId holder = board->recovered.Find(id)->holder;
  const auto it = board->usage_by_agent.find(holder);
  it->second = Minus(it->second, Needs{});
  if (it->second.slots == 0) board->usage_by_agent.erase(it);
  IndexRoom(board, holder);
}

// Applies one change of the board. Job rows come before the task rows that
// refer to them, and task rows are erased before their job.
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
    IndexRoom(board, change.row.id);
  }
  void operator()(const Erase<AgentRow>& change) const {
    board->fenced_slots -= FencedSlots(board->agents.Find(change.key));
    UnindexAgent(board, change.key);
    board->agents.Erase(change.key);
    IndexRoom(board, change.key);
  }
  void operator()(const Put<RecoveredTask>& change) const {
    RemoveUnclaimedUsage(board, change.row.entry.id);
    if (const auto* old = board->recovered.Find(change.row.entry.id)) {
      RemoveRecord(board, old->holder, old->entry.id);
    }
    board->recovered.Put(change.row);
    board->records_by_holder[change.row.holder].insert(change.row.entry.id);
    AddUnclaimedUsage(board, change.row.entry.id);
  }
  void operator()(const Erase<RecoveredTask>& change) const {
    RemoveUnclaimedUsage(board, change.key);
    if (const auto* old = board->recovered.Find(change.key)) {
      RemoveRecord(board, old->holder, change.key);
    }
    board->recovered.Erase(change.key);
  }
  void operator()(const Put<OpenCall>& change) const {
    const OpenCall& call = change.row;
    board->calls.Put(call);
    if (call.served_here || call.forwarded_to != LinkId{}) {
      board->waiting_calls.erase(call.id);
    } else {
      board->waiting_calls.insert(call.id);
    }
  }
  void operator()(const Erase<OpenCall>& change) const {
    board->calls.Erase(change.key);
    board->waiting_calls.erase(change.key);
  }
  void operator()(const Put<WitnessRecord>& change) const {
    const SubmissionId& id = change.row.entry.submission;
    board->witnesses.Put(change.row);
    if (change.row.waiting) {
      board->waiting_witnesses.insert(id);
    } else {
      board->waiting_witnesses.erase(id);
    }
    if (change.row.chosen.empty()) {
      board->unsent_witnesses.erase(id);
    } else {
      board->unsent_witnesses.insert(id);
    }
  }
  void operator()(const Erase<WitnessRecord>& change) const {
    board->witnesses.Erase(change.key);
    board->unsent_witnesses.erase(change.key);
    board->waiting_witnesses.erase(change.key);
  }
  void operator()(const Put<ClosedSubmission>& change) const {
    board->closed.Put(change.row);
    if (change.row.told) {
      board->closing.erase(change.row.id);
    } else {
      board->closing.insert(change.row.id);
    }
  }
  void operator()(const Erase<ClosedSubmission>& change) const {
    board->closed.Erase(change.key);
    board->closing.erase(change.key);
  }
  void operator()(const SetAuthority& change) const {
    board->authority = change.authority;
  }
  void operator()(const SetTable& change) const {
    board->table = change.table;
    board->roster_ids.clear();
    for (const RosterAgent& agent : change.table.table.roster) {
      board->roster_ids.insert(agent.id);
    }
  }
  void operator()(const SetConfig& change) const {
    board->config = change.config;
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
  void operator()(const TakeArrivalSeq&) const { ++board->next_arrival_seq; }
  void operator()(const TakeRequestId&) const { ++board->next_request_id; }
  void operator()(const Count& change) const {
    board->counters[static_cast<std::size_t>(change.counter)] += change.n;
  }
};

}  // namespace

void Apply(EntryBoard* board, const EntryChanges& changes) {
  for (const EntryRowChange& change : changes.board_changes) {
    std::visit(Applier{board}, change);
  }
}

}  // namespace dottereltrack
