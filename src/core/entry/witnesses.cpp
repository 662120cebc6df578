#include "core/entry/witnesses.h"

#include <algorithm>
#include <map>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/authority.h"
#include "core/entry/outcomes.h"
#include "core/entry/replies.h"
#include "core/entry/reprotection.h"
#include "core/entry/takeover.h"

namespace dottereltrack {
namespace {

// The rack of an agent in the roster; empty for other agents.
std::string RosterRackOf(const EntryBoard& board, AgentId agent) {
  for (const RosterAgent& it : board.table.table.roster) {
    if (it.id == agent) return it.rack;
  }
  return "";
}

// Number of racks in which a record must be stored. IsProvablyFresh relies on
// two racks for opaque keys as long as the table's roster spans two, even while
// the agents of one rack are disconnected.
std::size_t NeededRacks(const EntryBoard& board) {
  std::set<std::string> racks;
  for (const RosterAgent& it : board.table.table.roster) racks.insert(it.rack);
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

bool IsRecordedEnough(const EntryBoard& board, const WitnessRecord& record) {
  return RacksOf(board, record.confirmed).size() >= NeededRacks(board);
}

// Selects agents in racks where no agent has confirmed, been selected for or
// been sent the record. The hash of the submission id spreads the records over
// the agents.
void ChooseMore(const EntryBoard& board, WitnessRecord* record) {
  std::set<AgentId> involved = record->confirmed;
  involved.insert(record->chosen.begin(), record->chosen.end());
  for (const auto& [id, ask] : record->asked) involved.insert(id);
  std::set<std::string> racks = RacksOf(board, involved);
  const std::size_t needed = NeededRacks(board);
  if (racks.size() >= needed) return;
  std::vector<const AgentRow*> usable;
  for (const auto& [id, agent] : board.agents) {
    if (IsUsable(board, agent)) usable.push_back(&agent);
  }
  const std::size_t offset =
      std::hash<SubmissionId>()(record->entry.submission);
  for (std::size_t n = 0; n < usable.size() && racks.size() < needed; ++n) {
    const AgentRow& agent = *usable[(offset + n) % usable.size()];
    if (!racks.insert(RosterRackOf(board, agent.id)).second) continue;
    record->chosen.insert(agent.id);
  }
}

// Whether the request may still be acknowledged.
bool IsPending(const EntryBoard& board, AgentId id, const WitnessAsk& ask,
               const Now& now) {
  const AgentRow* agent = board.agents.Find(id);
  return agent != nullptr && IsUsable(board, *agent) &&
         agent->fence == ask.fence &&
         ask.sent_at + board.settings.witness_timeout > now.boot;
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
  next.told = true;
  changes.Add(Put<ClosedSubmission>{next});
  return changes;
}

// Ends the job or sends the refusal that waited for the submission to be
// closed. If witnesses have not recorded the closing, or this dispatcher lacks
// the authority that keeps another one from running the tasks, no task is
// reported as not run.
EntryChanges EndClosing(const EntryBoard& board, const SubmissionId& id,
                        bool marked, const Now& now) {
  if (const Job* job = board.jobs.Find(id)) {
    return marked ? EndJob(board, *job, now)
                  : ForgetUnrecordedProofs(board, *job);
  }
  ClosedSubmission closed = *board.closed.Find(id);
  if (!marked) closed.refusal.not_run.reset();
  return SendRefusal(board, closed);
}

// Whether the job reports a task as not run.
bool StatesNotRun(const EntryBoard& board, const Job& job) {
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
    record.asked.clear();
    record.chosen.clear();
  }
  record.entry = wanted;
  record.waiting = !IsRecordedEnough(board, record);
  record.waiting_since = now.boot;
  record.seen_at = now.boot;
  if (record.waiting) ChooseMore(board, &record);
  EntryChanges changes;
  changes.Add(Put<WitnessRecord>{record});
  return changes;
}

EntryChanges FlushWitnesses(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  std::map<AgentId, WitnessRequest> requests;
  for (const SubmissionId& id : board.unsent_witnesses) {
    WitnessRecord record = *board.witnesses.Find(id);
    for (const AgentId& chosen : record.chosen) {
      const AgentRow* agent = board.agents.Find(chosen);
      if (agent == nullptr || !IsUsable(board, *agent)) continue;
      requests[chosen].entries.push_back(record.entry);
      record.asked[chosen] = {agent->fence, agent->next_seq, now.boot};
    }
    record.chosen.clear();
    changes.Add(Put<WitnessRecord>{record});
  }
  for (auto& [id, request] : requests) {
    const AgentRow& agent = *board.agents.Find(id);
    request.fence = agent.fence;
    request.seq = agent.next_seq;
    changes.Add(SendToAgent{agent.link, std::move(request)});
    changes.Add(Put<AgentRow>{AfterSend(agent, now)});
    changes.Add(Count{Counter::kWitnessRequests});
    changes.Add(Count{Counter::kMessagesToAgents});
  }
  return changes;
}

EntryChanges RecordWitness(const EntryBoard& board, AgentId agent,
                           std::uint64_t acked_seq,
                           const SubmissionId& submission) {
  EntryChanges changes;
  const WitnessRecord* record = board.witnesses.Find(submission);
  if (record == nullptr) return changes;
  const auto ask = record->asked.find(agent);
  // A lower sequence number acknowledges an earlier request.
  if (ask == record->asked.end() || acked_seq < ask->second.seq) return changes;
  WitnessRecord next = *record;
  next.asked.erase(agent);
  next.holders.insert(agent);
  next.confirmed.insert(agent);
  if (IsRecordedEnough(board, next)) next.waiting = false;
  changes.Add(Put<WitnessRecord>{next});
  return changes;
}

EntryChanges TendWitnesses(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  for (const SubmissionId& id : board.waiting_witnesses) {
    const WitnessRecord& record = *board.witnesses.Find(id);
    WitnessRecord next = record;
    std::erase_if(next.asked, [&](const auto& it) {
      return !IsPending(board, it.first, it.second, now);
    });
    next.waiting = !IsRecordedEnough(board, next);
    if (next.waiting) ChooseMore(board, &next);
    if (next != record) changes.Add(Put<WitnessRecord>{next});
  }
  return changes;
}

bool IsWitnessed(const EntryBoard& board, const SubmissionId& submission) {
  const WitnessRecord* record = board.witnesses.Find(submission);
  return record == nullptr || !record->waiting;
}

EntryChanges ContinueAfterWitnesses(const EntryBoard& board,
                                    const SubmissionId& submission,
                                    const Now& now) {
  const bool witnessed = IsWitnessed(board, submission);
  const Job* job = board.jobs.Find(submission);
  if (job != nullptr && job->state == JobState::kWitnessing) {
    const bool asked = board.witnesses.Contains(submission) &&
                       !IsUnresolved(board, submission);
    return asked && witnessed ? OpenJob(*job) : EntryChanges{};
  }
  if (board.closing.count(submission) == 0) return {};
  // An answer that reports no task as not run needs no authority.
  const bool plain = job != nullptr && !StatesNotRun(board, *job);
  const WitnessRecord* record = board.witnesses.Find(submission);
  const bool late =
      record == nullptr ||
      record->waiting_since + board.settings.closing_timeout <= now.boot;
  if (witnessed && (plain || HasAuthority(board, now))) {
    return EndClosing(board, submission, true, now);
  }
  if (!late) return {};
  return EndClosing(board, submission, plain, now);
}

EntryChanges MoveWitnesses(const EntryBoard& board, AgentId source,
                           const Now& now) {
  EntryChanges changes;
  for (const auto& [id, record] : board.witnesses) {
    if (record.holders.count(source) == 0) continue;
    WitnessRecord next = record;
    next.confirmed.erase(source);
    if (RacksOf(board, next.confirmed).size() >= RacksThatStay(board, now)) {
      next.holders.erase(source);
    } else if (!next.waiting) {
      next.waiting = true;
      next.waiting_since = now.boot;
    }
    if (next.waiting) ChooseMore(board, &next);
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
