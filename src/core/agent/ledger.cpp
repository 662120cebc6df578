#include "core/agent/ledger.h"

#include "core/agent/results.h"

namespace dottereltrack {
namespace {

AgentChanges SendAck(const AgentBoard& board, AgentToEntry message) {
  AgentChanges changes;
  changes.Add(SendToEntry{board.dispatcher_link, std::move(message)});
  changes.Add(SetAckedSeq{board.handled_seq});
  changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  return changes;
}

AgentChanges PutWitness(const AgentBoard& board, const WitnessEntry& entry,
                        const Now& now) {
  WitnessRow row{entry, now.boot};
  // A closed submission is never reopened.
  const WitnessRow* old = board.witnesses.Find(entry.submission);
  if (old != nullptr && old->entry.closed) row.entry.closed = true;
  AgentChanges changes;
  changes.Add(Put<WitnessRow>{row});
  return changes;
}

}  // namespace

AgentChanges HandleWitnessRequest(const AgentBoard& board,
                                  const WitnessRequest& request,
                                  const Now& now) {
  AgentChanges changes;
  WitnessAck ack;
  ack.ack = MakeAck(board);
  for (const WitnessEntry& entry : request.entries) {
    changes.Append(PutWitness(board, entry, now));
    ack.submissions.push_back(entry.submission);
  }
  changes.Append(SendAck(board, std::move(ack)));
  return changes;
}

AgentChanges HandleLedgerCopy(const AgentBoard& board, const LedgerCopy& copy,
                              const Now& now) {
  AgentChanges changes;
  for (const LedgerEntry& entry : copy.entries) {
    // The agent's own record of a task is more accurate than a copy.
    if (board.ledger.Contains(entry.id)) continue;
    LedgerRow row;
    row.entry = entry;
    row.copied = true;
    row.recorded_at = now.boot;
    row.finished_at = now.boot;
    changes.Add(Put<LedgerRow>{row});
  }
  for (const WitnessEntry& entry : copy.witnesses) {
    changes.Append(PutWitness(board, entry, now));
  }
  changes.Append(SendAck(board, LedgerCopyAck{MakeAck(board), copy.source}));
  return changes;
}

AgentChanges TrimLedger(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const BootTime limit = now.boot - board.settings.retention;
  std::size_t bytes = board.output_bytes;
  for (const auto& [finished_at, id] : board.finished_by_age) {
    if (finished_at < limit) {
      bytes -= board.ledger.Find(id)->entry.output->size();
      changes.Add(Erase<LedgerRow>{id});
      continue;
    }
    if (bytes <= board.settings.max_output_bytes) break;
    LedgerRow row = *board.ledger.Find(id);
    if (row.entry.output->empty()) continue;
    bytes -= row.entry.output->size();
    row.entry.output = {};
    row.entry.output_dropped = true;
    changes.Add(Put<LedgerRow>{row});
    changes.Add(IncrementAgentCounter{AgentCounter::kOutputsDropped});
  }
  for (const auto& [id, row] : board.witnesses) {
    if (row.recorded_at < limit) changes.Add(Erase<WitnessRow>{id});
  }
  return changes;
}

}  // namespace dottereltrack
