#include "core/agent/advance.h"

#include <utility>

#include "core/agent/coalesce.h"
#include "core/agent/discovery.h"
#include "core/agent/draining.h"
#include "core/agent/fencing.h"
#include "core/agent/ledger.h"
#include "core/agent/results.h"
#include "core/agent/starts.h"

namespace dottereltrack {
namespace {

// Runs the controllers one after another. Applies the changes of each to the
// board before the next one reads it, and collects their effects.
class AgentEventProcessor {
 public:
  AgentEventProcessor(AgentBoard* board, const std::vector<Endpoint>& seeds,
                      const Now& now)
      : board_(board), seeds_(seeds), now_(now) {}

  void ApplyAndCollect(AgentChanges changes) {
    for (AgentEffect& effect : Apply(board_, std::move(changes))) {
      effects_.push_back(std::move(effect));
    }
  }

  void HandleEvent(const AgentEvent& event) {
    std::visit([this](const auto& e) { On(e); }, event);
  }

  void FinishBatch() {
    ApplyAndCollect(DialEntries(*board_, seeds_, now_));
    ApplyAndCollect(LeaveWhenIdle(*board_, now_));
  }

  std::vector<AgentEffect> TakeEffects() {
    return CoalesceResults(std::move(effects_));
  }

 private:
  void On(const EntryMessageReceived& e) {
    std::visit([&](const auto& message) { OnEntryMessage(e.link, message); },
               e.message);
  }
  void On(const EntryDialed& e) {
    ApplyAndCollect(HandleEntryDialed(*board_, e));
  }
  void On(const EntryDialFailed& e) {
    ApplyAndCollect(HandleEntryDialFailed(*board_, e, now_));
  }
  void On(const EntryLinkClosed& e) {
    ApplyAndCollect(HandleEntryLinkClosed(*board_, e.link, now_));
  }
  void On(const MinionAnnounced& e) {
    ApplyAndCollect(HandleMinionAnnounced(*board_, e, now_));
  }
  void On(const MinionLeaving&) {
    ApplyAndCollect(HandleMinionLeaving(*board_));
  }
  void On(const AttemptEnded& e) {
    ApplyAndCollect(HandleAttemptEnded(*board_, e, now_));
  }
  void On(const AgentTick&) {
    ApplyAndCollect(TrimLedger(*board_, now_));
    ApplyAndCollect(SendAckIfDue(*board_, now_));
  }
  void On(const AgentStopRequested&) {
    ApplyAndCollect(HandleAgentStop(*board_, now_));
  }

  void OnEntryMessage(LinkId link, const EntryHello& message) {
    ApplyAndCollect(HandleEntryHello(*board_, link, message));
  }
  void OnEntryMessage(LinkId link, const FenceRequest& message) {
    const bool is_newer = message.fence > board_->fence;
    ApplyAndCollect(HandleFenceRequest(*board_, link, message, now_));
    if (is_newer) ApplyAndCollect(SendInventory(*board_));
  }
  void OnEntryMessage(LinkId link, const Starts& message) {
    AcceptFromDispatcher(link, message.fence, message.seq);
    for (const TaskStart& start : message.tasks) {
      ApplyAndCollect(HandleStart(*board_, link, message.fence, start, now_));
    }
  }
  void OnEntryMessage(LinkId link, const Heartbeat& message) {
    if (!AcceptFromDispatcher(link, message.fence, message.seq)) return;
    AgentChanges changes;
    changes.Add(SendToEntry{link, HeartbeatAck{MakeAck(*board_)}});
    changes.Add(SetAckedSeq{board_->handled_seq});
    changes.Add(IncrementAgentCounter{AgentCounter::kMessagesSent});
    ApplyAndCollect(std::move(changes));
  }
  void OnEntryMessage(LinkId link, const CancelTasks& message) {
    if (!AcceptFromDispatcher(link, message.fence, message.seq)) return;
    for (const TaskId& task : message.tasks) {
      ApplyAndCollect(HandleCancel(*board_, message.fence, task));
    }
  }
  void OnEntryMessage(LinkId link, const WitnessRequest& message) {
    if (!AcceptFromDispatcher(link, message.fence, message.seq)) return;
    ApplyAndCollect(HandleWitnessRequest(*board_, message, now_));
  }
  void OnEntryMessage(LinkId link, const LedgerCopy& message) {
    if (!AcceptFromDispatcher(link, message.fence, message.seq)) return;
    ApplyAndCollect(HandleLedgerCopy(*board_, message, now_));
  }
  void OnEntryMessage(LinkId, const ConfigUpdate& message) {
    ApplyAndCollect(AdoptAgentConfig(*board_, message.config));
  }
  void OnEntryMessage(LinkId, const TableUpdate& message) {
    ApplyAndCollect(AdoptAgentTable(*board_, message.table));
  }

  // Records the sequence number of a message from the current dispatcher.
  // Answers any other sender with the current fence and returns false.
  bool AcceptFromDispatcher(LinkId link, const Fence& fence,
                            std::uint64_t seq) {
    if (!IsFromDispatcher(*board_, link, fence)) {
      ApplyAndCollect(ReportNewerFence(*board_, link));
      return false;
    }
    AgentChanges changes;
    changes.Add(SetHandledSeq{seq, now_.boot});
    ApplyAndCollect(std::move(changes));
    return true;
  }

  AgentBoard* board_;
  const std::vector<Endpoint>& seeds_;
  Now now_;
  std::vector<AgentEffect> effects_;
};

}  // namespace

std::vector<AgentEffect> Advance(AgentBoard* board,
                                 const std::vector<Endpoint>& seeds,
                                 const std::vector<AgentEvent>& events,
                                 const Now& now) {
  AgentEventProcessor processor(board, seeds, now);
  for (const AgentEvent& event : events) processor.HandleEvent(event);
  processor.FinishBatch();
  return processor.TakeEffects();
}

}  // namespace dottereltrack
