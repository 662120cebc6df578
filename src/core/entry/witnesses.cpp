#include "core/entry/witnesses.h"

#include <algorithm>
#include <map>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/authority.h"
#include "core/entry/outcomes.h"
#include "core/entry/record_transfer.h"
#include "core/entry/replies.h"
#include "core/entry/takeover.h"

namespace dottereltrack {
namespace {

// The rack of an agent in the roster; empty for other agents.
std::string RosterRackOf(const EntryBoard& board, AgentId agent) {
  for (const RosterAgent& it : board.stored_table.table.roster) {
    if (it.id == agent) return it.rack;
  }
  return "";
}

// Number of racks in which a record must be stored. IsProvablyNotStarted relies
// on two racks for opaque keys as long as the table's roster spans two, even
// while the agents of one rack are disconnected.
std::size_t RequiredRackCount(const EntryBoard& board) {
  std::set<std::string> racks;
  for (const RosterAgent& it : board.stored_table.table.roster) {
    racks.insert(it.rack);
  }
  return std::clamp<std::size_t>(racks.size(), 1, board.settings.witness_count);
}

std::set<std::string> RacksOf(const EntryBoard& board,
                              const std::set<AgentId>& agents) {
  std::set<std::string> racks;
  for (const AgentId agent : agents) {
    const std::string rack = RosterRackOf(board, agent);
    if (!rack.empty()) racks.insert(rack);
  }
  return racks;
}

bool IsInEnoughRacks(const EntryBoard& board, const WitnessRecord& record) {
  return RacksOf(board, record.confirmed).size() >= RequiredRackCount(board);
}

// Selects agents in racks where no agent has confirmed, been selected for or
// been sent the record. The hash of the submission id spreads the records over
// the agents.
void SelectMoreWitnesses(const EntryBoard& board, WitnessRecord* record) {
  std::set<AgentId> involved = record->confirmed;
  involved.insert(record->selected.begin(), record->selected.end());
  for (const auto& [id, pending] : record->pending_requests) {
    involved.insert(id);
  }
  std::set<std::string> racks = RacksOf(board, involved);
  const std::size_t needed = RequiredRackCount(board);
  if (racks.size() >= needed) return;
  std::vector<const AgentRow*> usable;
  for (const auto& [id, agent] : board.agents) {
    if (CanTakeWork(board, agent)) usable.push_back(&agent);
  }
  const std::size_t offset =
      std::hash<SubmissionId>()(record->entry.submission);
  for (std::size_t n = 0; n < usable.size() && racks.size() < needed; ++n) {
    const AgentRow& agent = *usable[(offset + n) % usable.size()];
    if (!racks.insert(RosterRackOf(board, agent.id)).second) continue;
    record->selected.insert(agent.id);
  }
}

// Whether the request may still be acknowledged.
bool IsPending(const EntryBoard& board, AgentId id,
               const PendingWitnessRequest& pending, const Now& now) {
  const AgentRow* agent = board.agents.Find(id);
  return agent != nullptr && CanTakeWork(board, *agent) &&
         agent->fence == pending.fence &&
         pending.sent_at + board.settings.witness_timeout > now.boot;
}

EntryChanges OpenJob(const Job& job) {
  Job next = job;
  next.state = JobState::kOpen;
  EntryChanges changes;
  changes.Add(Put<Job>{next});
  return changes;
}

EntryChanges SendRefusal(const EntryBoard& board,
                         const ClosedSubmission& closed) {
  EntryChanges changes;
  const auto first = board.waiters.LowerBound({closed.id, ReplyTo{CallId{0}}});
  for (auto it = first; it != board.waiters.end(); ++it) {
    const Waiter& waiter = it->second;
    if (waiter.submission != closed.id) break;
    changes.Append(SendReply(board, waiter.reply_to, closed.refusal));
    changes.Add(Erase<Waiter>{waiter.Key()});
  }
  ClosedSubmission next = closed;
  next.refusal_sent = true;
  changes.Add(Put<ClosedSubmission>{next});
  return changes;
}

// Ends the job or sends the refusal that waited for the submission to be
// closed. A task may be reported as not run only if witnesses have recorded the
// closing and this dispatcher has the authority that keeps another one from
// running the tasks.
EntryChanges FinishClosing(const EntryBoard& board, const SubmissionId& id,
                           bool may_report_not_run, const Now& now) {
  if (const Job* job = board.jobs.Find(id)) {
    return may_report_not_run ? EndJob(board, *job, now)
                              : ReportUnrecordedNotRunAsUnknown(board, *job);
  }
  ClosedSubmission closed = *board.closed_submissions.Find(id);
  if (!may_report_not_run) closed.refusal.not_run.reset();
  return SendRefusal(board, closed);
}

// Whether the job reports a task as not run.
bool ReportsNotRun(const EntryBoard& board, const Job& job) {
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    const Task* task = board.tasks.Find({job.id, n});
    if (std::holds_alternative<NotRun>(*task->outcome)) return true;
  }
  return false;
}

}  // namespace

EntryChanges RequestWitnesses(const EntryBoard& board,
                              const WitnessEntry& entry, const Now& now) {
  WitnessRecord record;
  if (const auto* old = board.witnesses.Find(entry.submission)) record = *old;
  WitnessEntry wanted = entry;
  // A closed submission is never reopened.
  wanted.closed = wanted.closed || record.entry.closed;
  if (record.entry != wanted) {
    record.confirmed.clear();
    record.pending_requests.clear();
    record.selected.clear();
  }
  record.entry = wanted;
  record.underreplicated = !IsInEnoughRacks(board, record);
  record.underreplicated_since = now.boot;
  record.seen_at = now.boot;
  if (record.underreplicated) SelectMoreWitnesses(board, &record);
  EntryChanges changes;
  changes.Add(Put<WitnessRecord>{record});
  return changes;
}

EntryChanges SendWitnessRequests(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  std::map<AgentId, WitnessRequest> requests;
  for (const SubmissionId& id : board.unsent_witness_requests) {
    WitnessRecord record = *board.witnesses.Find(id);
    for (const AgentId& chosen : record.selected) {
      const AgentRow* agent = board.agents.Find(chosen);
      if (agent == nullptr || !CanTakeWork(board, *agent)) continue;
      requests[chosen].entries.push_back(record.entry);
      record.pending_requests[chosen] = {agent->fence, agent->next_seq,
                                         now.boot};
    }
    record.selected.clear();
    changes.Add(Put<WitnessRecord>{record});
  }
  for (auto& [id, request] : requests) {
    const AgentRow& agent = *board.agents.Find(id);
    request.fence = agent.fence;
    request.seq = agent.next_seq;
    changes.Add(SendToAgent{agent.link, std::move(request)});
    changes.Add(Put<AgentRow>{AgentRowAfterSend(agent, now)});
    changes.Add(Count{Counter::kWitnessRequests});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

EntryChanges ConfirmWitness(const EntryBoard& board, AgentId agent,
                            std::uint64_t acked_seq,
                            const SubmissionId& submission) {
  EntryChanges changes;
  const WitnessRecord* record = board.witnesses.Find(submission);
  if (record == nullptr) return changes;
  const auto pending = record->pending_requests.find(agent);
  // A lower sequence number acknowledges an earlier request.
  if (pending == record->pending_requests.end() ||
      acked_seq < pending->second.seq) {
    return changes;
  }
  WitnessRecord next = *record;
  next.pending_requests.erase(agent);
  next.holders.insert(agent);
  next.confirmed.insert(agent);
  if (IsInEnoughRacks(board, next)) next.underreplicated = false;
  changes.Add(Put<WitnessRecord>{next});
  return changes;
}

EntryChanges ReplaceFailedWitnesses(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const SubmissionId& id : board.underreplicated_witnesses) {
    const WitnessRecord& record = *board.witnesses.Find(id);
    WitnessRecord next = record;
    std::erase_if(next.pending_requests, [&](const auto& it) {
      return !IsPending(board, it.first, it.second, now);
    });
    next.underreplicated = !IsInEnoughRacks(board, next);
    if (next.underreplicated) SelectMoreWitnesses(board, &next);
    if (next != record) changes.Add(Put<WitnessRecord>{next});
  }
  return changes;
}

bool IsWitnessed(const EntryBoard& board, const SubmissionId& submission) {
  const WitnessRecord* record = board.witnesses.Find(submission);
  return record == nullptr || !record->underreplicated;
}

EntryChanges ResumeAfterWitnesses(const EntryBoard& board,
                                  const SubmissionId& submission,
                                  const Now& now) {
  const bool witnessed = IsWitnessed(board, submission);
  const Job* job = board.jobs.Find(submission);
  if (job != nullptr && job->state == JobState::kWitnessing) {
    const bool was_requested = board.witnesses.Contains(submission) &&
                               !IsUnresolved(board, submission);
    return was_requested && witnessed ? OpenJob(*job) : EntryChanges{};
  }
  if (board.closing_submissions.count(submission) == 0) return {};
  // An answer that reports no task as not run needs no authority.
  const bool needs_no_authority = job != nullptr && !ReportsNotRun(board, *job);
  const WitnessRecord* record = board.witnesses.Find(submission);
  const bool has_timed_out =
      record == nullptr ||
      record->underreplicated_since + board.settings.closing_timeout <=
          now.boot;
  if (witnessed && (needs_no_authority || HasAuthority(board, now))) {
    return FinishClosing(board, submission, true, now);
  }
  if (!has_timed_out) return {};
  return FinishClosing(board, submission, needs_no_authority, now);
}

EntryChanges MoveWitnessRecords(const EntryBoard& board, AgentId source,
                                const Now& now) {
  EntryChanges changes;
  for (const auto& [id, record] : board.witnesses) {
    if (record.holders.count(source) == 0) continue;
    WitnessRecord next = record;
    next.confirmed.erase(source);
    if (RacksOf(board, next.confirmed).size() >=
        RemainingRackCount(board, now)) {
      next.holders.erase(source);
    } else if (!next.underreplicated) {
      next.underreplicated = true;
      next.underreplicated_since = now.boot;
    }
    if (next.underreplicated) SelectMoreWitnesses(board, &next);
    if (next != record) changes.Add(Put<WitnessRecord>{next});
  }
  return changes;
}

EntryChanges CloseSubmission(const EntryBoard& board, const SubmissionId& id,
                             std::uint64_t body_digest, const Refusal& refusal,
                             const ReplyTo& reply_to, const Now& now) {
  EntryChanges changes;
  changes.Add(Put<ClosedSubmission>{{id, refusal, now.boot, false}});
  changes.Add(Put<Waiter>{{id, reply_to}});
  changes.Add(Count{Counter::kRefusals});
  changes.Append(RequestWitnesses(board, {id, body_digest, true}, now));
  return changes;
}

}  // namespace dottereltrack
