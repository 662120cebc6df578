#include "core/agent/changes.h"

namespace dottereltrack {
namespace {

void AddToIndexes(AgentBoard* board, const LedgerRow& row) {
  if (row.entry.state == LedgerState::kRunning) {
    board->running.insert(row.entry.id);
  } else {
    board->finished_by_age.emplace(row.finished_at, row.entry.id);
  }
  board->output_bytes += row.entry.output->size();
}

void RemoveFromIndexes(AgentBoard* board, const TaskId& id) {
  const LedgerRow* row = board->ledger.Find(id);
  if (row == nullptr) return;
  board->running.erase(id);
  board->finished_by_age.erase({row->finished_at, id});
  board->output_bytes -= row->entry.output->size();
}

struct Applier {
  AgentBoard* board;

  void operator()(const Put<LedgerRow>& change) const {
    RemoveFromIndexes(board, change.row.entry.id);
    board->ledger.Put(change.row);
    AddToIndexes(board, change.row);
  }
  void operator()(const Erase<LedgerRow>& change) const {
    RemoveFromIndexes(board, change.key);
    board->ledger.Erase(change.key);
  }
  void operator()(const Put<WitnessRow>& change) const {
    board->witnesses.Put(change.row);
  }
  void operator()(const Erase<WitnessRow>& change) const {
    board->witnesses.Erase(change.key);
  }
  void operator()(const Put<EntryLink>& change) const {
    board->links.Put(change.row);
  }
  void operator()(const Erase<EntryLink>& change) const {
    board->links.Erase(change.key);
  }
  void operator()(const Put<EntryDial>& change) const {
    board->dials.Put(change.row);
  }
  void operator()(const Erase<EntryDial>& change) const {
    board->dials.Erase(change.key);
  }
  void operator()(const SetMinion& change) const {
    board->minion = change.minion;
  }
  void operator()(const SetFence& change) const {
    board->fence = change.fence;
    board->dispatcher_link = change.link;
    board->handled_seq = 0;
    board->acked_seq = 0;
  }
  void operator()(const SetHandledSeq& change) const {
    if (board->handled_seq == board->acked_seq) {
      board->unacked_since = change.handled_at;
    }
    board->handled_seq = change.seq;
  }
  void operator()(const SetAckedSeq& change) const {
    board->acked_seq = change.seq;
  }
  void operator()(const SetAgentTable& change) const {
    board->table = change.table;
  }
  void operator()(const SetAgentConfig& change) const {
    board->config = change.config;
  }
  void operator()(const SetAgentStopping& change) const {
    board->stopping = true;
    board->stopping_since = change.since;
  }
  void operator()(const SetLeaveSent& change) const {
    board->leave_sent = change.sent;
  }
  void operator()(const IncrementAgentCounter& change) const {
    board->counters[static_cast<std::size_t>(change.counter)] += change.n;
  }
};

}  // namespace

std::vector<AgentEffect> Apply(AgentBoard* board, AgentChanges changes) {
  return std::move(changes).ApplyTo([&](const AgentBoardChange& change) {
    std::visit(Applier{board}, change);
  });
}

}  // namespace dottereltrack
