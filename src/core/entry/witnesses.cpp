#include "core/entry/witnesses.h"

#include <map>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/outcomes.h"
#include "core/entry/replies.h"

namespace dottereltrack {
namespace {

// Spreads the choice over the agents by the submission, so that no agent keeps
// the records of all submissions.
std::set<AgentId> ChooseWitnesses(const EntryBoard& board,
                                  const SubmissionId& submission) {
  std::vector<const AgentRow*> usable;
  for (const auto& [id, agent] : board.agents) {
    if (IsUsable(board, agent)) usable.push_back(&agent);
  }
  std::set<AgentId> chosen;
  std::set<std::string> racks;
  const std::size_t offset = std::hash<SubmissionId>()(submission);
  for (std::size_t n = 0; n < usable.size(); ++n) {
    if (chosen.size() >= board.settings.witness_count) break;
    const AgentRow& agent = *usable[(offset + n) % usable.size()];
    if (!racks.insert(RackOf(agent.minion)).second) continue;
    chosen.insert(agent.id);
  }
  return chosen;
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
  return changes;
}

}  // namespace

EntryChanges RequestWitnesses(const EntryBoard& board,
                              const WitnessEntry& entry, const Now& now) {
  WitnessRecord record;
  if (const auto* old = board.witnesses.Find(entry.submission)) record = *old;
  record.entry = entry;
  record.chosen = ChooseWitnesses(board, entry.submission);
  record.awaited.clear();
  record.seen_at = now.boot;
  EntryChanges changes;
  changes.Add(Put<WitnessRecord>{record});
  return changes;
}

EntryChanges FlushWitnesses(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  std::map<AgentId, WitnessRequest> requests;
  for (const SubmissionId& id : board.unsent_witnesses) {
    WitnessRecord record = *board.witnesses.Find(id);
    for (const AgentId& agent : record.chosen) {
      requests[agent].entries.push_back(record.entry);
    }
    record.awaited.insert(record.chosen.begin(), record.chosen.end());
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
                           const SubmissionId& submission) {
  EntryChanges changes;
  const WitnessRecord* record = board.witnesses.Find(submission);
  if (record == nullptr) return changes;
  WitnessRecord next = *record;
  next.awaited.erase(agent);
  next.holders.insert(agent);
  changes.Add(Put<WitnessRecord>{next});
  return changes;
}

EntryChanges ForgetWitness(const EntryBoard& board, AgentId agent,
                           const SubmissionId& submission) {
  EntryChanges changes;
  const WitnessRecord* record = board.witnesses.Find(submission);
  if (record == nullptr) return changes;
  WitnessRecord next = *record;
  next.chosen.erase(agent);
  next.awaited.erase(agent);
  next.holders.erase(agent);
  changes.Add(Put<WitnessRecord>{next});
  return changes;
}

bool IsWitnessed(const EntryBoard& board, const SubmissionId& submission) {
  const WitnessRecord* record = board.witnesses.Find(submission);
  return record == nullptr ||
         (record->chosen.empty() && record->awaited.empty());
}

EntryChanges ContinueAfterWitnesses(const EntryBoard& board,
                                    const SubmissionId& submission,
                                    const Now& now) {
  if (!IsWitnessed(board, submission)) return {};
  if (const Job* job = board.jobs.Find(submission)) {
    if (job->state == JobState::kWitnessing) return OpenJob(*job);
    if (job->state == JobState::kClosing) return EndJob(board, *job, now);
    return {};
  }
  if (const auto* closed = board.closed.Find(submission)) {
    return SendRefusal(board, *closed);
  }
  return {};
}

EntryChanges CloseSubmission(const EntryBoard& board, const SubmissionId& id,
                             std::uint64_t body_digest, const Refusal& refusal,
                             const ReplyTo& reply_to, const Now& now) {
  EntryChanges changes;
  changes.Add(Put<ClosedSubmission>{{id, refusal, now.boot}});
  changes.Add(Put<Waiter>{{id, reply_to}});
  changes.Add(Count{Counter::kRefusals});
  changes.Append(RequestWitnesses(board, {id, body_digest, true}, now));
  return changes;
}

}  // namespace dottereltrack
