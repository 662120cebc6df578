#include "core/entry/advance.h"

#include <utility>

#include "core/entry/admission.h"
#include "core/entry/agent_links.h"
#include "core/entry/agent_messages.h"
#include "core/entry/authority.h"
#include "core/entry/cancellation.h"
#include "core/entry/configuration.h"
#include "core/entry/deadlines.h"
#include "core/entry/ejection.h"
#include "core/entry/forwarding.h"
#include "core/entry/membership.h"
#include "core/entry/outcomes.h"
#include "core/entry/peer_traffic.h"
#include "core/entry/peers.h"
#include "core/entry/placement.h"
#include "core/entry/record_transfer.h"
#include "core/entry/replies.h"
#include "core/entry/run_time_estimates.h"
#include "core/entry/starts.h"
#include "core/entry/table_store.h"
#include "core/entry/takeover.h"
#include "core/entry/witnesses.h"

namespace dottereltrack {
namespace {

// Runs controllers one after another and collects their effects. The changes of
// each are applied before the next one reads the board.
class ControllerRunner {
 public:
  ControllerRunner(EntryBoard* board, const Now& now)
      : board_(board), now_(now) {}

  void Run(EntryChanges changes) {
    for (EntryEffect& effect : Apply(board_, std::move(changes))) {
      effects_.push_back(std::move(effect));
    }
  }

  void Handle(const EntryEvent& event) {
    std::visit([this](const auto& e) { On(e); }, event);
    // The next event of the batch must be handled in the new role.
    Run(RecordNewGeneration(*board_, now_));
    Run(UpdateRole(*board_, now_));
  }

  // Runs the controllers that act on the board as a whole, once per batch.
  void RunBatchControllers() {
    Run(FenceAgents(*board_, now_));
    SettleTakeover();
    RouteUnroutedCalls();
    EndJobs();
    Run(SendWitnessRequests(*board_, now_));
    Run(SendPendingCancels(*board_, now_));
    const auto placements = ChoosePlacements(*board_, now_);
    if (!placements.empty()) Run(SendStarts(*board_, placements, now_));
    Run(WriteDesiredTable(*board_, now_));
    Run(RecordPeerSendTimes(*board_, effects_, now_));
    if (ShouldExit()) effects_.emplace_back(ExitProcess{});
  }

  std::vector<EntryEffect> TakeEffects() { return std::move(effects_); }

 private:
  void On(const CallerSubmits& e) {
    Run(HandleCallerSubmits(*board_, e, now_));
  }
  void On(const CallerFetches& e) { Run(HandleCallerFetches(e, now_)); }
  void On(const CallerCancels& e) { Run(HandleCallerCancels(e, now_)); }
  void On(const CallerDisconnected& e) {
    Run(HandleCallerLeft(*board_, e.call));
  }
  void On(const AgentMessageReceived& e) {
    if (const auto* hello = std::get_if<AgentHello>(&e.message)) {
      Run(HandleAgentHello(*board_, e.link, *hello));
      ReadTableIfNewer(hello->generation);
      return;
    }
    const AgentRow* agent = FindAgentByLink(*board_, e.link);
    if (agent == nullptr) {
      IncrementCounter(Counter::kStaleLinkMessagesDropped);
      return;
    }
    const AgentId id = agent->id;
    std::visit([&](const auto& message) { OnAgent(id, message); }, e.message);
  }
  void On(const PeerMessageReceived& e) {
    if (const auto* hello = std::get_if<PeerHello>(&e.message)) {
      Run(HandlePeerHello(*board_, e.link, *hello, now_));
      return;
    }
    const PeerRow* peer = FindPeerByLink(*board_, e.link);
    if (peer == nullptr) {
      IncrementCounter(Counter::kStaleLinkMessagesDropped);
      return;
    }
    PeerRow updated_peer = *peer;
    updated_peer.last_heard_at = now_.boot;
    EntryChanges changes;
    changes.Add(Put<PeerRow>{updated_peer});
    Run(std::move(changes));
    std::visit(
        [&](const auto& message) { OnPeer(e.link, updated_peer.id, message); },
        e.message);
  }
  void On(const PeerDialed& e) { Run(HandlePeerDialed(*board_, e, now_)); }
  void On(const PeerDialFailed& e) {
    Run(HandlePeerDialFailed(*board_, e, now_));
  }
  void On(const LinkClosed& e) {
    Run(HandleLinkClosed(*board_, e.link, now_));
    Run(DialPeers(*board_, now_));
  }
  void On(const TableObserved& e) {
    Run(HandleTableObserved(*board_, e.table, now_));
    Run(DialPeers(*board_, now_));
  }
  void On(const ConfigObserved& e) {
    Run(HandleConfigObserved(*board_, e.config));
  }
  void On(const StoreReadFailed&) { Run(HandleStoreReadFailed(*board_, now_)); }
  void On(const TableWritten& e) { Run(HandleTableWritten(*board_, e, now_)); }
  void On(const ConfigWritten& e) {
    Run(HandleConfigWritten(*board_, e, now_));
  }
  void On(const OperatorSetsConfig& e) {
    Run(HandleOperatorSetsConfig(*board_, e, now_));
  }
  void On(const OperatorConfirmsDead& e) {
    Run(HandleConfirmDead(*board_, e, now_));
  }
  void On(const Tick&) {
    Run(ReadTableIfNeeded(*board_, now_));
    Run(DialPeers(*board_, now_));
    Run(DetectSilentAgents(*board_, now_));
    Run(CleanUpRemovedAgents(*board_, now_));
    Run(EndTasksOfLostAgents(*board_, now_));
    Run(EndTasksPastDeadline(*board_, now_));
    Run(EndUnplaceableJobs(*board_, now_));
    ResumeWaitingSubmissions();
    Run(ExpireCalls(*board_, now_));
    Run(RetryConfigChanges(*board_, now_));
    Run(TransferRecords(*board_, now_));
    Run(DropExpiredRecords(*board_, now_));
    Run(SendHeartbeats(*board_, now_));
    Run(SendPeerHeartbeats(*board_, now_));
  }
  void On(const StopRequested&) {
    EntryChanges changes;
    changes.Add(SetStopping{now_.boot});
    Run(std::move(changes));
  }

  void OnAgent(AgentId id, const Inventory& message) {
    Acknowledge(id, message.ack);
    Run(HandleInventory(*board_, *board_->agents.Find(id), message, now_));
    if (message.last) Run(FinishInventory(*board_, *board_->agents.Find(id)));
  }
  void OnAgent(AgentId id, const Results& message) {
    Acknowledge(id, message.ack);
    if (!IsUnderCurrentFence(id, message.ack)) return;
    for (const TaskResult& result : message.results) {
      const AgentRow& agent = *board_->agents.Find(id);
      Run(UpdateRunTimeEstimates(*board_, agent, result, now_));
      Run(UpdateMinionHealth(*board_, agent, result, now_));
      Run(HandleResult(*board_, agent, result));
    }
    for (const TaskRefused& refusal : message.refused) {
      Run(HandleRefusedStart(*board_, *board_->agents.Find(id), refusal));
    }
  }
  void OnAgent(AgentId id, const HeartbeatAck& message) {
    Acknowledge(id, message.ack);
  }
  void OnAgent(AgentId id, const WitnessAck& message) {
    Acknowledge(id, message.ack);
    if (!IsUnderCurrentFence(id, message.ack)) return;
    for (const SubmissionId& submission : message.submissions) {
      Run(ConfirmWitness(*board_, id, message.ack.seq, submission));
      ResumeSubmission(submission);
    }
  }
  void OnAgent(AgentId id, const LedgerCopyAck& message) {
    Acknowledge(id, message.ack);
    if (!IsUnderCurrentFence(id, message.ack)) return;
    Run(HandleLedgerCopyAck(*board_, id, message));
  }
  void OnAgent(AgentId id, const MinionUpdate& message) {
    Acknowledge(id, message.ack);
    Run(HandleMinionUpdate(*board_, *board_->agents.Find(id), message));
  }
  // Not reached: a hello is handled before its sender is looked up.
  void OnAgent(AgentId, const AgentHello&) {}

  void OnPeer(LinkId link, EntryId peer, const ForwardSubmit& message) {
    if (board_->authority.role == Role::kMember) return SendTable(link);
    const PeerRequest reply_to{peer, link, message.request_id};
    Run(AdmitSubmission(*board_, message.request, reply_to, now_));
    Resolve(MakeSubmissionId(message.request->team, message.request->key));
  }
  void OnPeer(LinkId link, EntryId peer, const ForwardFetch& message) {
    if (board_->authority.role == Role::kMember) return SendTable(link);
    const PeerRequest reply_to{peer, link, message.request_id};
    Run(ReplyWithSubmission(*board_, message.submission, reply_to));
  }
  void OnPeer(LinkId link, EntryId peer, const ForwardCancel& message) {
    if (board_->authority.role == Role::kMember) return SendTable(link);
    const PeerRequest reply_to{peer, link, message.request_id};
    Run(CancelSubmission(*board_, message.submission, reply_to));
  }
  void OnPeer(LinkId link, EntryId, const ForwardReply& message) {
    Run(HandleForwardReply(*board_, link, message));
  }
  void OnPeer(LinkId link, EntryId, const TableUpdate& message) {
    const bool is_older =
        message.table.revision < board_->stored_table.revision;
    Run(AdoptTable(*board_, message.table));
    Run(DialPeers(*board_, now_));
    if (!is_older) return;
    // The peer has an older table, in which it may not be the dispatcher yet,
    // so it has turned away the calls forwarded to it. They are forwarded again
    // after the table.
    SendTable(link);
    Run(UnrouteCallsOnLink(*board_, link));
  }
  void OnPeer(LinkId, EntryId, const ConfigUpdate& message) {
    Run(AdoptConfig(*board_, message.config));
  }
  void OnPeer(LinkId link, EntryId, const PeerHeartbeat& message) {
    if (message.generation < board_->stored_table.table.generation) {
      SendTable(link);
    }
    // On receiving this older table the peer sends its own, which works even
    // while the store is down.
    if (message.generation > board_->stored_table.table.generation) {
      SendTable(link);
    }
    ReadTableIfNewer(message.generation);
  }
  // Not reached: a hello is handled before its sender is looked up.
  void OnPeer(LinkId, EntryId, const PeerHello&) {}

  void Acknowledge(AgentId id, const AgentAck& ack) {
    EntryChanges changes;
    changes.Add(Put<AgentRow>{AgentRowAfterAck(*board_->agents.Find(id), ack)});
    Run(std::move(changes));
    ReadTableIfNewer(ack.fence.generation);
  }

  // Messages sent under an older fence are dropped, because the inventory under
  // the newer fence contains what they reported.
  bool IsUnderCurrentFence(AgentId id, const AgentAck& ack) {
    if (board_->agents.Find(id)->fence == ack.fence) return true;
    IncrementCounter(Counter::kStaleLinkMessagesDropped);
    return false;
  }

  // Reads the table if the sender of a message knows a newer generation.
  void ReadTableIfNewer(std::uint64_t generation) {
    if (generation <= board_->stored_table.table.generation) return;
    StoreStatus next = board_->store;
    if (next.read_pending) return;
    next.read_pending = true;
    EntryChanges changes;
    changes.Add(SetStoreStatus{next});
    changes.Add(ReadTable{});
    changes.Add(Count{Counter::kStoreCalls});
    Run(std::move(changes));
  }

  void SendTable(LinkId link) {
    EntryChanges changes;
    changes.Add(SendToPeer{link, TableUpdate{board_->stored_table}});
    changes.Add(Count{Counter::kMessagesToPeers});
    Run(std::move(changes));
  }

  void IncrementCounter(Counter counter) {
    EntryChanges changes;
    changes.Add(Count{counter});
    Run(std::move(changes));
  }

  void Resolve(const SubmissionId& id) {
    EntryChanges changes = ResolveSubmission(*board_, id, now_);
    while (!changes.board_changes().empty()) {
      Run(std::move(changes));
      changes = ResolveSubmission(*board_, id, now_);
    }
    ResumeSubmission(id);
  }

  // Resumes what waits for the witnesses of the submission. A job whose proofs
  // that tasks did not run are dropped is checked again, so that it ends in the
  // same call of Advance.
  void ResumeSubmission(const SubmissionId& id) {
    EntryChanges changes = ResumeAfterWitnesses(*board_, id, now_);
    while (!changes.board_changes().empty()) {
      Run(std::move(changes));
      changes = ResumeAfterWitnesses(*board_, id, now_);
    }
  }

  void ResumeWaitingSubmissions() {
    std::set<SubmissionId> waiting = board_->underreplicated_witnesses;
    waiting.insert(board_->closing_submissions.begin(),
                   board_->closing_submissions.end());
    Run(ReplaceFailedWitnesses(*board_, now_));
    for (const SubmissionId& id : waiting) ResumeSubmission(id);
  }

  void SettleTakeover() {
    const bool settled_before = board_->authority.inventory_settled;
    Run(SettleInventory(*board_, now_));
    if (settled_before || !board_->authority.inventory_settled) return;
    std::vector<SubmissionId> open;
    for (const auto& [deadline, id] : board_->open_jobs_by_deadline) {
      open.push_back(id);
    }
    for (const SubmissionId& id : open) Resolve(id);
  }

  void RouteUnroutedCalls() {
    const std::set<CallId> waiting = board_->unrouted_calls;
    for (const CallId id : waiting) {
      const OpenCall call = *board_->open_calls.Find(id);
      if (!CanRoute(*board_, call)) continue;
      Run(RouteCall(*board_, call, now_));
      if (call.kind == CallKind::kSubmit) Resolve(call.submission);
    }
  }

  void EndJobs() {
    const std::set<SubmissionId> decided = board_->decided_jobs;
    Run(EndDecidedJobs(*board_, now_));
    // A job for which there is no witness to ask ends at once.
    for (const SubmissionId& id : decided) ResumeSubmission(id);
  }

  bool ShouldExit() const { return board_->stopping && CanExit(*board_, now_); }

  EntryBoard* board_;
  Now now_;
  std::vector<EntryEffect> effects_;
};

}  // namespace

std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now) {
  ControllerRunner runner(board, now);
  for (const EntryEvent& event : events) runner.Handle(event);
  runner.RunBatchControllers();
  return runner.TakeEffects();
}

}  // namespace dottereltrack
