#include "core/entry/takeover.h"

#include <algorithm>
#include <set>

#include "core/entry/admission.h"
#include "core/entry/agent_messages.h"
#include "core/entry/outcomes.h"
#include "core/entry/replies.h"
#include "core/entry/witnesses.h"

namespace dottereltrack {
namespace {

// Returns a queued copy of a task that no earlier dispatcher has started.
Task AsQueued(const Task& task) {
  Task next = task;
  next.state = TaskState::kQueued;
  return next;
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
  changes.Add(Put<AgentRow>{AgentRowAfterSend(next, now)});
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

// Ranks ledger entries by how much they say about the task, from the highest:
// ended with its output, ended with the output dropped, running, unknown.
int InformationRank(const LedgerEntry& entry) {
  const bool ended =
      entry.state == LedgerState::kDone || entry.state == LedgerState::kFailed;
  if (ended) return entry.output_dropped ? 2 : 3;
  return entry.state == LedgerState::kRunning ? 1 : 0;
}

// Two ledgers may list the same task if one of them has a copy of the record.
// The entry with more information is kept.
EntryChanges RecordRecoveredTask(const EntryBoard& board, const AgentRow& agent,
                                 const LedgerEntry& entry, const Now& now) {
  EntryChanges changes;
  const RecoveredTask* old = board.recovered_tasks.Find(entry.id);
  const bool keeps_old = old != nullptr && old->holder != agent.id &&
                         InformationRank(old->entry) >= InformationRank(entry);
  if (keeps_old) return changes;
  changes.Add(Put<RecoveredTask>{{entry, agent.id, now.boot}});
  return changes;
}

// Whether the task has ended without a known record. An agent whose ledger has
// one must be noted as its holder, or it could leave the roster with the only
// record.
bool EndedWithoutRecord(const Task& task) {
  return task.state == TaskState::kFinal && task.holder == AgentId{};
}

// Whether the agent's ledger determines the state of the task: the task is
// queued or was sent to this agent.
bool IsDeterminedByLedger(const Task& task, const AgentRow& agent) {
  return task.state == TaskState::kQueued ||
         (task.state == TaskState::kSent && task.agent == agent.id);
}

EntryChanges RecordRecoveredWitness(const EntryBoard& board,
                                    const AgentRow& agent,
                                    const WitnessEntry& entry, const Now& now) {
  WitnessRecord record;
  if (const auto* old = board.witnesses.Find(entry.submission)) record = *old;
  const bool known = record.seen_at != BootTime{0};
  if (entry.closed && !record.entry.closed) record.confirmed.clear();
  if (!known || entry.closed) record.entry = entry;
  record.holders.insert(agent.id);
  if (record.entry == entry) record.confirmed.insert(agent.id);
  // A record that this dispatcher requested itself does not indicate that an
  // earlier dispatcher started tasks.
  if (!known || IsUnresolved(board, entry.submission)) {
    record.found_in_inventory = true;
  }
  record.seen_at = now.boot;
  EntryChanges changes;
  changes.Add(Put<WitnessRecord>{record});
  return changes;
}

// Queues again the tasks that were sent under an older fence and that the
// ledger does not contain, or ends them if their job is cancelled or has
// failed.
EntryChanges RequeueMissingTasks(const EntryBoard& board,
                                 const InventoryStatus& status) {
  EntryChanges changes;
  const auto sent = board.sent_tasks_by_agent.find(status.agent);
  if (sent == board.sent_tasks_by_agent.end()) return changes;
  std::vector<TaskDecision> ended;
  for (const TaskId& id : sent->second) {
    const Task& task = *board.tasks.Find(id);
    const auto proof = ProveAbsent(task, status);
    if (!proof) continue;
    const Job& job = *board.jobs.Find(id.submission);
    if (job.unsuccessful_tasks > 0 || job.cancelled) {
      const char* reason = job.cancelled ? "cancelled" : "job_failed";
      ended.push_back({id, NotRun{reason, *proof}});
      continue;
    }
    Task next = AsQueued(task);
    next.holder = AgentId{};
    changes.Add(Put<Task>{next});
  }
  changes.Append(FinishTasks(board, ended));
  return changes;
}

bool HasFencedMajority(const EntryBoard& board) {
  const auto& roster = board.stored_table.table.roster;
  const auto fenced =
      std::count_if(roster.begin(), roster.end(), [&](const RosterAgent& it) {
        const AgentRow* agent = board.agents.Find(it.id);
        return agent != nullptr && agent->phase == AgentPhase::kFenced &&
               agent->fence.generation == board.authority.generation;
      });
  return static_cast<std::size_t>(fenced) * 2 > roster.size();
}

// Racks of agents whose ledgers were not read and may still contain records
// that have not expired.
std::set<std::string> RacksWithUnreadLedgers(const EntryBoard& board,
                                             const Now& now) {
  std::set<std::string> racks;
  for (const RosterAgent& agent : board.stored_table.table.roster) {
    if (board.authority.agents_without_inventory.count(agent.id) != 0) {
      racks.insert(agent.rack);
    }
  }
  for (const LostAgent& agent : board.stored_table.table.lost) {
    if (agent.expires_wall_ms > now.wall.count()) racks.insert(agent.rack);
  }
  return racks;
}

// Whether every opaque key within the retention time had witnesses in two
// racks.
bool HadTwoRacksForRetention(const EntryBoard& board) {
  const std::int64_t since = board.stored_table.table.two_racks_since_ms;
  return since != 0 && board.authority.takeover_started_wall.count() >=
                           since + board.settings.retention.count();
}

TaskOutcome OutcomeOfEntry(const LedgerEntry& entry) {
  if (entry.state == LedgerState::kRunning) {
    return Unknown{"its agent was lost while it ran"};
  }
  const bool result_gone =
      entry.state == LedgerState::kDone && entry.output_dropped;
  if (result_gone) return Unknown{"it ran, but its result is no longer kept"};
  return OutcomeOf(entry.state, entry.output);
}

bool IsClosedEarlier(const EntryBoard& board, const SubmissionId& id) {
  const WitnessRecord* witness = board.witnesses.Find(id);
  return witness != nullptr && witness->entry.closed;
}

// Refuses a job that was accepted before a ledger was read that lists its key
// with a different body.
EntryChanges RefuseReusedKey(const EntryBoard& board, const Job& job) {
  EntryChanges changes;
  const auto first = board.waiters.LowerBound({job.id, ReplyTo{CallId{0}}});
  for (auto it = first; it != board.waiters.end(); ++it) {
    const Waiter& waiter = it->second;
    if (waiter.submission != job.id) break;
    changes.Append(SendReply(board, waiter.reply_to, MakeKeyReusedRefusal()));
    changes.Add(Erase<Waiter>{waiter.Key()});
  }
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    changes.Add(Erase<Task>{{job.id, n}});
  }
  changes.Add(Erase<Job>{job.id});
  return changes;
}

// Returns the outcome of an unresolved task according to the inventories, or
// nothing if the task may be started.
std::optional<TaskOutcome> DecideTask(const EntryBoard& board, const Job& job,
                                      const Task& task, const Now& now) {
  if (const auto* recovered = board.recovered_tasks.Find(task.id)) {
    return OutcomeOfEntry(recovered->entry);
  }
  if (!IsProvablyNotStarted(board, job.id, job.body->key, now)) {
    return Unknown{
        "an agent that may have started it was lost together with "
        "the dispatcher"};
  }
  const char* reason = IsClosedEarlier(board, job.id) ? "submission_closed"
                       : job.cancelled                ? "cancelled"
                       : job.unsuccessful_tasks > 0   ? "job_failed"
                                                      : nullptr;
  if (reason == nullptr) return std::nullopt;
  return NotRun{reason, *ProveNeverSent(AsQueued(task))};
}

const AgentRow* FindRunningAgent(const EntryBoard& board, const TaskId& id) {
  const RecoveredTask* recovered = board.recovered_tasks.Find(id);
  if (recovered == nullptr) return nullptr;
  if (recovered->entry.state != LedgerState::kRunning) return nullptr;
  // An agent that is briefly disconnected still runs the task. If it does not
  // come back, the task ends with the other tasks of the lost agent.
  return board.agents.Find(recovered->holder);
}

}  // namespace

EntryChanges FenceAgents(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role == Role::kMember) return changes;
  Authority authority = board.authority;
  for (const auto& [id, agent] : board.agents) {
    if (agent.phase != AgentPhase::kConnected || agent.records_transferred) {
      continue;
    }
    if (!StaysInRoster(board, id)) continue;
    const Fence fence{authority.generation, authority.next_session++};
    changes.Append(FenceAgent(agent, fence, now));
  }
  if (!changes.board_changes().empty()) changes.Add(SetAuthority{authority});
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
    const bool must_record = task == nullptr ||
                             task->state == TaskState::kUnresolved ||
                             EndedWithoutRecord(*task);
    if (must_record) {
      changes.Append(RecordRecoveredTask(board, agent, entry, now));
    } else if (!IsDeterminedByLedger(*task, agent)) {
      continue;
    } else if (entry.state == LedgerState::kRunning) {
      changes.Add(Put<Task>{AsRunning(*task, agent)});
    } else {
      finished.push_back({entry.id, OutcomeOfEntry(entry)});
    }
  }
  changes.Append(FinishTasks(board, finished));
  for (const WitnessEntry& entry : inventory.witnesses) {
    changes.Append(RecordRecoveredWitness(board, agent, entry, now));
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
  changes.Append(RequeueMissingTasks(board, *status));
  changes.Add(Erase<InventoryStatus>{agent.id});
  Authority authority = board.authority;
  authority.agents_without_inventory.erase(agent.id);
  changes.Add(SetAuthority{authority});
  return changes;
}

EntryChanges SettleInventory(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.authority.role != Role::kTakingOver) return changes;
  const bool all_read = board.authority.agents_without_inventory.empty();
  const bool has_majority = all_read || HasFencedMajority(board);
  Authority next = board.authority;
  if (has_majority && !next.majority_fenced_at) {
    next.majority_fenced_at = now.boot;
  }
  if (!has_majority) next.majority_fenced_at.reset();
  // After this time the old dispatcher has lost its majority, even if its clock
  // runs a tenth slower than this entry's.
  const auto wait = board.settings.authority_timeout * 11 / 10;
  // Keys issued less than the clock skew after the wait cannot be proved to be
  // new. Jobs are held until that window has passed, so that callers do not
  // submit their next jobs within it.
  const auto wait_with_skew = wait + board.settings.clock_skew;
  const bool has_waited = next.majority_fenced_at &&
                          *next.majority_fenced_at + wait_with_skew <= now.boot;
  if (all_read || has_waited) {
    next.role = Role::kDispatcher;
    next.earlier_starts_until_wall =
        all_read ? now.wall : now.wall - board.settings.clock_skew;
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
  if (!IsUnresolved(board, submission)) return changes;
  if (IsRecoveredWithOtherBody(board, submission, job->body_digest)) {
    return RefuseReusedKey(board, *job);
  }
  const bool closed = IsClosedEarlier(board, submission);
  if (closed && !job->closed_by_earlier_dispatcher) {
    Job next = *job;
    next.closed_by_earlier_dispatcher = true;
    changes.Add(Put<Job>{next});
    return changes;
  }
  std::vector<TaskDecision> decisions;
  for (std::uint32_t n = 0; n < job->task_count; ++n) {
    const Task* task = board.tasks.Find({submission, n});
    if (task->state != TaskState::kUnresolved) continue;
    if (const AgentRow* agent = FindRunningAgent(board, task->id)) {
      changes.Add(Put<Task>{AsRunning(*task, *agent)});
      if (job->cancelled) {
        changes.Add(Put<CancelRequest>{{task->id, agent->id}});
      }
    } else if (auto outcome = DecideTask(board, *job, *task, now)) {
      decisions.push_back({task->id, std::move(*outcome)});
    } else {
      changes.Add(Put<Task>{AsQueued(*task)});
    }
  }
  // The changes to queued and running tasks are applied first, so that a failed
  // task of the job also ends the queued ones.
  const bool must_apply_first =
      !changes.board_changes().empty() && !decisions.empty();
  if (must_apply_first) return changes;
  changes.Append(FinishTasks(board, decisions));
  if (job->state == JobState::kWitnessing) {
    const WitnessEntry entry{submission, job->body_digest, false};
    changes.Append(RequestWitnesses(board, entry, now));
  }
  return changes;
}

bool IsProvablyNotStarted(const EntryBoard& board, const SubmissionId& id,
                          const std::string& key, const Now& now) {
  const std::set<std::string> missing = RacksWithUnreadLedgers(board, now);
  if (missing.empty()) return true;
  if (const auto issued = IssueTimeFromKey(key)) {
    return board.authority.inventory_settled &&
           *issued > board.authority.earlier_starts_until_wall +
                         board.settings.clock_skew;
  }
  // A witness record in an inventory means that the job may have started.
  const WitnessRecord* witness = board.witnesses.Find(id);
  if (witness != nullptr && witness->found_in_inventory) return false;
  return missing.size() < board.settings.witness_count &&
         HadTwoRacksForRetention(board);
}

bool IsUnresolved(const EntryBoard& board, const SubmissionId& submission) {
  // The first unresolved task is enough: all tasks of a job are resolved
  // together.
  for (auto it = board.tasks.LowerBound({submission, 0});
       it != board.tasks.end() && it->first.submission == submission; ++it) {
    if (it->second.state == TaskState::kUnresolved) return true;
  }
  return false;
}

bool HasRecoveredTasks(const EntryBoard& board, const SubmissionId& id) {
  const auto it = board.recovered_tasks.LowerBound({id, 0});
  return it != board.recovered_tasks.end() && it->first.submission == id;
}

bool IsRecoveredWithOtherBody(const EntryBoard& board, const SubmissionId& id,
                              std::uint64_t body_digest) {
  const auto it = board.recovered_tasks.LowerBound({id, 0});
  if (it != board.recovered_tasks.end() && it->first.submission == id) {
    return it->second.entry.body_digest != body_digest;
  }
  const WitnessRecord* witness = board.witnesses.Find(id);
  return witness != nullptr && witness->entry.body_digest != body_digest;
}

}  // namespace dottereltrack
