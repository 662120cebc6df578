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
class Stepper {
 public:
  Stepper(AgentBoard* board, const std::vector<Endpoint>& seeds, const Now& now)
      : board_(board), seeds_(seeds), now_(now) {}

  void Run(AgentChanges changes) {
    Apply(board_, changes);
    for (AgentEffect& effect : changes.effects) {
      effects_.push_back(std::move(effect));
    }
  }

  void Handle(const AgentEvent& event) {
    std::visit([this](const auto& e) { On(e); }, event);
  }

  void Settle() {
    Run(DialEntries(*board_, seeds_, now_));
    Run(LeaveWhenIdle(*board_, now_));
  }

  std::vector<AgentEffect> TakeEffects() {
    return CoalesceResults(std::move(effects_));
  }

 private:
  void On(const EntrySays& e) {
    std::visit([&](const auto& message) { OnEntry(e.link, message); },
               e.message);
  }
  void On(const EntryDialed& e) { Run(HandleEntryDialed(*board_, e)); }
  void On(const EntryDialFailed& e) {
    Run(HandleEntryDialFailed(*board_, e, now_));
  }
  void On(const EntryLinkClosed& e) {
    Run(HandleEntryLinkClosed(*board_, e.link, now_));
  }
  void On(const MinionAnnounces& e) {
    Run(HandleMinionAnnounces(*board_, e, now_));
  }
  void On(const MinionLeaves&) { Run(HandleMinionLeaves(*board_)); }
  void On(const AttemptEnded& e) { Run(HandleAttemptEnded(*board_, e, now_)); }
  void On(const AgentTick&) {
    Run(TrimLedger(*board_, now_));
    Run(SendAckIfDue(*board_, now_));
  }
  void On(const AgentStopRequested&) { Run(HandleAgentStop(*board_, now_)); }

  void OnEntry(LinkId link, const EntryHello& message) {
    Run(HandleEntryHello(*board_, link, message));
  }
  void OnEntry(LinkId link, const FenceRequest& message) {
    const bool newer = message.fence > board_->fence;
    Run(HandleFence(*board_, link, message, now_));
    if (newer) Run(SendInventory(*board_));
  }
  void OnEntry(LinkId link, const Starts& message) {
    NoteSeq(link, message.fence, message.seq);
    for (const TaskStart& start : message.tasks) {
      Run(HandleStart(*board_, link, message.fence, start, now_));
    }
  }
  void OnEntry(LinkId link, const Heartbeat& message) {
    if (!NoteSeq(link, message.fence, message.seq)) return;
    AgentChanges changes;
    changes.Add(SendToEntry{link, HeartbeatAck{AckOf(*board_)}});
    changes.Add(SetAckedSeq{board_->handled_seq});
    changes.Add(CountAgent{AgentCounter::kMessagesSent});
    Run(std::move(changes));
  }
  void OnEntry(LinkId link, const CancelTasks& message) {
    if (!NoteSeq(link, message.fence, message.seq)) return;
    for (const TaskId& task : message.tasks) {
      Run(HandleCancel(*board_, message.fence, task));
    }
  }
  void OnEntry(LinkId link, const WitnessRequest& message) {
    if (!NoteSeq(link, message.fence, message.seq)) return;
    Run(HandleWitnessRequest(*board_, message, now_));
  }
  void OnEntry(LinkId link, const LedgerCopy& message) {
    if (!NoteSeq(link, message.fence, message.seq)) return;
    Run(HandleLedgerCopy(*board_, message, now_));
  }
  void OnEntry(LinkId, const ConfigUpdate& message) {
    Run(AdoptAgentConfig(*board_, message.config));
  }
  void OnEntry(LinkId, const TableUpdate& message) {
    Run(AdoptAgentTable(*board_, message.table));
  }

  // Records the sequence number of a message from the current dispatcher.
  // Answers any other sender with the current fence and returns false.
  bool NoteSeq(LinkId link, const Fence& fence, std::uint64_t seq) {
    if (!IsUnderFence(*board_, link, fence)) {
      Run(ReportNewerFence(*board_, link));
      return false;
    }
    AgentChanges changes;
    changes.Add(SetHandledSeq{seq, now_.boot});
    Run(std::move(changes));
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
  Stepper stepper(board, seeds, now);
  for (const AgentEvent& event : events) stepper.Handle(event);
  stepper.Settle();
  return stepper.TakeEffects();
}

}  // namespace dottereltrack
