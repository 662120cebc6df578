#include "core/agent/results.h"

#include <string>

namespace dottereltrack {
namespace {

AgentChanges SendToDispatcher(const AgentBoard& board, AgentToEntry message) {
  AgentChanges changes;
  if (!board.links.Contains(board.dispatcher_link)) return changes;
  changes.Add(SendToEntry{board.dispatcher_link, std::move(message)});
  changes.Add(SetAckedSeq{board.handled_seq});
  changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  return changes;
}

LedgerState ToLedgerState(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kDone:
      return LedgerState::kDone;
    case AttemptEnd::kFailed:
      return LedgerState::kFailed;
    case AttemptEnd::kNotStarted:
    case AttemptEnd::kUnknown:
      break;
  }
  return LedgerState::kUnknown;
}

}  // namespace

AgentAck MakeAck(const AgentBoard& board) {
  return {board.fence, board.handled_seq};
}

AgentChanges SendResult(const AgentBoard& board, const LedgerRow& row) {
  Results results;
  results.ack = MakeAck(board);
  results.results.push_back(
      {row.entry.id, row.entry.state, row.entry.output, row.run_time});
  AgentChanges changes = SendToDispatcher(board, std::move(results));
  changes.Add(IncrementAgentCounter{AgentCounter::kResultsSent});
  return changes;
}

AgentChanges SendRefusal(const AgentBoard& board, LinkId link,
                         const TaskRefused& refused) {
  Results results;
  results.ack = MakeAck(board);
  results.refused.push_back(refused);
  AgentChanges changes;
  changes.Add(SendToEntry{link, std::move(results)});
  changes.Add(IncrementAgentCounter{AgentCounter::kStartsRefused});
  changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
  return changes;
}

AgentChanges HandleAttemptEnded(const AgentBoard& board,
                                const AttemptEnded& event, const Now& now) {
  AgentChanges changes;
  if (board.running.count(event.task) == 0) return changes;
  LedgerRow row = *board.ledger.Find(event.task);
  if (event.end == AttemptEnd::kNotStarted) {
    changes.Add(Erase<LedgerRow>{event.task});
    changes.Append(
        SendRefusal(board, board.dispatcher_link,
                    {event.task, board.fence, StartRefusal::kConnectFailed}));
    return changes;
  }
  row.entry.state = ToLedgerState(event.end);
  row.entry.output = event.output;
  row.run_time = event.run_time;
  row.finished_at = now.boot;
  changes.Add(Put<LedgerRow>{row});
  changes.Append(SendResult(board, row));
  return changes;
}

AgentChanges EndRunningTasks(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  for (const TaskId& id : board.running) {
    LedgerRow row = *board.ledger.Find(id);
    row.entry.state = LedgerState::kUnknown;
    row.entry.output = std::string("the minion restarted while it ran");
    row.finished_at = now.boot;
    changes.Add(Put<LedgerRow>{row});
    changes.Append(SendResult(board, row));
    changes.Add(AbortOnMinion{id});
  }
  return changes;
}

AgentChanges SendAckIfDue(const AgentBoard& board, const Now& now) {
  if (board.handled_seq == board.acked_seq) return {};
  if (board.unacked_since + board.settings.ack_delay > now.boot) return {};
  return SendToDispatcher(board, HeartbeatAck{MakeAck(board)});
}

}  // namespace dottereltrack
