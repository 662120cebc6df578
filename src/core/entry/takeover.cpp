#include "core/entry/takeover.h"

#include <algorithm>
#include <set>

#include "core/entry/admission.h"
#include "core/entry/agent_messages.h"
#include "core/entry/outcomes.h"

namespace dottereltrack {
namespace {

bool IsInRoster(const CellTable& table, AgentId agent) {
  return std::any_of(table.roster.begin(), table.roster.end(),
                     [&](const RosterAgent& it) { return it.id == agent; });
}

EntryChanges FenceAgent(const AgentRow& agent, const Fence& fence,
                        const Now& now) {
  AgentRow next = agent;
  next.phase = AgentPhase::kFencing;
  next.fence = fence;
  next.unacked.clear();
  next.acked_sent_at = BootTime{0};
  EntryChanges changes;
  changes.Add(SendToAgent{agent.link, FenceRequest{fence, next.next_seq}});
  changes.Add(Put<AgentRow>{AfterSend(next, now)});
  changes.Add(Put<InventoryStatus>{{agent.id, fence, false, {}}});
  changes.Add(Count{Counter::kMessagesToAgents});
  return changes;
}

Task AsRunning(const Task& task, const AgentRow& agent) {
  Task next = task;
  next.state = TaskState::kSent;
  next.agent = agent.id;
  next.holder = agent.id;
  next.fence = agent.fence;
  return next;
}

EntryChanges RememberRecovered(const AgentRow& agent, const LedgerEntry& entry,
                               const Now& now) {
  EntryChanges changes;
  changes.Add(Put<RecoveredTask>{{entry, agent.id, now.boot}});
  return changes;
}

// Whether the agent's ledger may decide the task: it waits in the queue, or it
// was sent to this very agent.
bool Concerns(const Task& task, const AgentRow& agent) {
  return task.state == TaskState::kQueued ||
         (task.state == TaskState::kSent && task.agent == agent.id);
}

EntryChanges RememberWitness(const EntryBoard& board, const AgentRow& agent,
                             const WitnessEntry& entry, const Now& now) {
  WitnessRecord record;
  if (const auto* old = board.witnesses.Find(entry.submission)) record = *old;
  const bool closed = record.entry.closed || entry.closed;
  record.entry = entry;
  record.entry.closed = closed;
  record.holders.insert(agent.id);
  record.seen_at = now.boot;
  EntryChanges changes;
  changes.Add(Put<WitnessRecord>{record});
  return changes;
}

// Tasks that were sent under an older fence and that the ledger lacks.
EntryChanges RequeueAbsent(const EntryBoard& board,
                           const InventoryStatus& status) {
  EntryChanges changes;
  const auto sent = board.sent_by_agent.find(status.agent);
  if (sent == board.sent_by_agent.end()) return changes;
  std::vector<TaskDecision> ended;
  for (const TaskId& id : sent->second) {
    const Task& task = *board.tasks.Find(id);
    const auto proof = ProveAbsent(task, status);
    if (!proof) continue;
    if (board.jobs.Find(id.submission)->bad_tasks > 0) {
      ended.push_back({id, NotRun{"job_failed", *proof}});
      continue;
    }
    Task next = task;
    next.state = TaskState::kQueued;
    changes.Add(Put<Task>{next});
  }
  changes.Append(FinishTasks(board, ended));
  return changes;
}

bool HasFencedMajority(const EntryBoard& board) {
  const auto& roster = board.table.table.roster;
  const auto fenced =
      std::count_if(roster.begin(), roster.end(), [&](const RosterAgent& it) {
        const AgentRow* agent = board.agents.Find(it.id);
        return agent != nullptr && agent->phase == AgentPhase::kFenced;
      });
  return static_cast<std::size_t>(fenced) * 2 > roster.size();
}

// Racks of agents whose ledgers are neither read nor expired.
std::set<std::string> MissingRacks(const EntryBoard& board, const Now& now) {
  std::set<std::string> racks;
  for (const RosterAgent& agent : board.table.table.roster) {
    if (board.authority.uninventoried.count(agent.id) != 0) {
      racks.insert(agent.rack);
    }
  }
  for (const LostAgent& agent : board.table.table.lost) {
    if (agent.expires_wall_ms > now.wall.count()) racks.insert(agent.rack);
  }
  return racks;
}

// Whether every opaque key of the retention had witnesses in two racks.
bool HadTwoRacks(const EntryBoard& board) {
  const std::int64_t since = board.table.table.two_racks_since_ms;
  return since != 0 && board.authority.since_wall.count() >=
                           since + board.settings.retention.count();
}

// What the inventories decide about one queued task. Nothing is returned for a
// task that may be started.
std::optional<TaskOutcome> DecideTask(const EntryBoard& board, const Job& job,
                                      const Task& task, const Now& now) {
  if (const auto* recovered = board.recovered.Find(task.id)) {
    if (recovered->entry.state != LedgerState::kRunning) {
      return OutcomeOf(recovered->entry.state, recovered->entry.output);
    }
    return Unknown{"its agent was lost while it ran"};
  }
  if (!IsProvablyFresh(board, job.body->key, now)) {
    return Unknown{
        "an agent that may have started it was lost together with "
        "the dispatcher"};
  }
  const WitnessRecord* witness = board.witnesses.Find(job.id);
  const bool closed = witness != nullptr && witness->entry.closed;
  if (!closed) return std::nullopt;
  return NotRun{"submission_closed", *ProveNeverSent(task)};
}

const AgentRow* RunningOn(const EntryBoard& board, const TaskId& id) {
  const RecoveredTask* recovered = board.recovered.Find(id);
  if (recovered == nullptr) return nullptr;
  if (recovered->entry.state != LedgerState::kRunning) return nullptr;
  const AgentRow* holder = board.agents.Find(recovered->holder);
  const bool connected =
      holder != nullptr && holder->phase == AgentPhase::kFenced;
  return connected ? holder : nullptr;
}

}  // namespace

EntryChanges FenceAgents(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role == Role::kMember) return changes;
  Authority authority = board.authority;
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase != AgentPhase::kConnected) continue;
    if (!IsInRoster(board.table.table, id)) continue;
    const Fence fence{authority.generation, authority.next_session++};
    changes.Append(FenceAgent(agent, fence, now));
  }
  if (!changes.rows.empty()) changes.Add(SetAuthority{authority});
  return changes;
}

EntryChanges HandleInventory(const EntryBoard& board, const AgentRow& agent,
                             const Inventory& inventory, const Now& now) {
  EntryChanges changes;
  const InventoryStatus* status = board.inventories.Find(agent.id);
  if (status == nullptr || inventory.ack.fence != status->fence) {
    changes.Add(Count{Counter::kStaleLinkMessagesDropped});
    return changes;
  }
  InventoryStatus next = *status;
  std::vector<TaskDecision> finished;
  for (const LedgerEntry& entry : inventory.entries) {
    next.reported.insert(entry.id);
    const Task* task = board.tasks.Find(entry.id);
    if (task == nullptr) {
      changes.Append(RememberRecovered(agent, entry, now));
    } else if (!Concerns(*task, agent)) {
      continue;
    } else if (entry.state == LedgerState::kRunning) {
      changes.Add(Put<Task>{AsRunning(*task, agent)});
    } else {
      finished.push_back({entry.id, OutcomeOf(entry.state, entry.output)});
    }
  }
  changes.Append(FinishTasks(board, finished));
  for (const WitnessEntry& entry : inventory.witnesses) {
    changes.Append(RememberWitness(board, agent, entry, now));
  }
  next.complete = inventory.last;
  changes.Add(Put<InventoryStatus>{next});
  return changes;
}

EntryChanges FinishInventory(const EntryBoard& board, const AgentRow& agent) {
  EntryChanges changes;
  const InventoryStatus* status = board.inventories.Find(agent.id);
  if (status == nullptr || !status->complete) return changes;
  AgentRow next = agent;
  next.phase = AgentPhase::kFenced;
  changes.Add(Put<AgentRow>{next});
  changes.Append(RequeueAbsent(board, *status));
  changes.Add(Erase<InventoryStatus>{agent.id});
  Authority authority = board.authority;
  authority.uninventoried.erase(agent.id);
  changes.Add(SetAuthority{authority});
  return changes;
}

EntryChanges SettleInventory(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role != Role::kTakingOver) return changes;
  const bool all = board.authority.uninventoried.empty();
  const bool majority = all || HasFencedMajority(board);
  Authority next = board.authority;
  if (majority && !next.majority_at) next.majority_at = now.boot;
  if (!majority) next.majority_at.reset();
  // By then the old dispatcher has lost its own majority, even if its clock is
  // a tenth slower than ours.
  const auto wait = board.settings.authority_timeout * 11 / 10;
  const bool waited = next.majority_at && *next.majority_at + wait <= now.boot;
  if (all || waited) {
    next.role = Role::kDispatcher;
    next.inventory_settled = true;
  }
  if (next != board.authority) changes.Add(SetAuthority{next});
  return changes;
}

EntryChanges ResolveSubmission(const EntryBoard& board,
                               const SubmissionId& submission, const Now& now) {
  EntryChanges changes;
  const Job* job = board.jobs.Find(submission);
  if (job == nullptr || !board.authority.inventory_settled) return changes;
  std::vector<TaskDecision> decisions;
  for (std::uint32_t n = 0; n < job->task_count; ++n) {
    const Task* task = board.tasks.Find({submission, n});
    if (task->state != TaskState::kQueued) continue;
    if (const AgentRow* agent = RunningOn(board, task->id)) {
      changes.Add(Put<Task>{AsRunning(*task, *agent)});
    } else if (auto outcome = DecideTask(board, *job, *task, now)) {
      decisions.push_back({task->id, std::move(*outcome)});
    }
  }
  // The running tasks are applied first, so that the end of another task does
  // not take them for queued ones.
  if (!changes.rows.empty()) return changes;
  return FinishTasks(board, decisions);
}

bool IsProvablyFresh(const EntryBoard& board, const std::string& key,
                     const Now& now) {
  const std::set<std::string> missing = MissingRacks(board, now);
  if (missing.empty()) return true;
  if (const auto issued = IssueTimeOf(key)) {
    return *issued > board.authority.since_wall + board.settings.clock_skew;
  }
  return missing.size() < board.settings.witness_count && HadTwoRacks(board);
}

bool IsRecoveredWithOtherBody(const EntryBoard& board, const SubmissionId& id,
                              std::uint64_t body_digest) {
  const auto it = board.recovered.LowerBound({id, 0});
  if (it != board.recovered.end() && it->first.submission == id) {
    return it->second.entry.body_digest != body_digest;
  }
  const WitnessRecord* witness = board.witnesses.Find(id);
  return witness != nullptr && witness->entry.body_digest != body_digest;
}

}  // namespace dottereltrack
