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
#include "core/entry/minion_health.h"
#include "core/entry/outcomes.h"
#include "core/entry/peer_traffic.h"
#include "core/entry/peers.h"
#include "core/entry/placement.h"
#include "core/entry/replies.h"
#include "core/entry/reprotection.h"
#include "core/entry/starts.h"
#include "core/entry/table_store.h"
#include "core/entry/takeover.h"
#include "core/entry/witnesses.h"

namespace dottereltrack {
namespace {

// Applies the changes of one controller after the other and collects their
// effects, so that each controller reads the board that the former left.
class Stepper {
 public:
  Stepper(EntryBoard* board, const Now& now) : board_(board), now_(now) {}

  void Run(EntryChanges changes) {
    Apply(board_, changes);
    for (EntryEffect& effect : changes.effects) {
      effects_.push_back(std::move(effect));
    }
  }

  void Handle(const EntryEvent& event) {
    std::visit([this](const auto& e) { On(e); }, event);
    // The next event of the batch may already come for the new role.
    Run(NoteDispatcher(*board_, now_));
    Run(FollowTable(*board_, now_));
  }

  // Controllers that act on the state as a whole.
  void Settle() {
    Run(FenceAgents(*board_, now_));
    SettleTakeover();
    RouteWaitingCalls();
    EndJobs();
    Run(FlushWitnesses(*board_, now_));
    Run(FlushCancels(*board_, now_));
    const auto placements = ChoosePlacements(*board_, now_);
    if (!placements.empty()) Run(SendStarts(*board_, placements, now_));
    Run(WriteDesiredTable(*board_, now_));
    Run(NotePeerTraffic(*board_, effects_, now_));
    if (IsStopped()) effects_.emplace_back(ExitProcess{});
  }

  std::vector<EntryEffect> TakeEffects() { return std::move(effects_); }

 private:
  void On(const CallerSubmits& e) {
    Run(HandleCallerSubmits(*board_, e, now_));
  }
  void On(const CallerFetches& e) { Run(HandleCallerFetches(e, now_)); }
  void On(const CallerCancels& e) { Run(HandleCallerCancels(e, now_)); }
  void On(const CallerLeft& e) { Run(HandleCallerLeft(*board_, e.call)); }
  void On(const AgentSays& e) {
    if (const auto* hello = std::get_if<AgentHello>(&e.message)) {
      Run(HandleAgentHello(*board_, e.link, *hello));
      NoteGeneration(hello->generation);
      return;
    }
    const AgentRow* agent = FindAgentByLink(*board_, e.link);
    if (agent == nullptr) {
      CountOne(Counter::kStaleLinkMessagesDropped);
      return;
    }
    const AgentId id = agent->id;
    std::visit([&](const auto& message) { OnAgent(id, message); }, e.message);
  }
  void On(const PeerSays& e) {
    if (const auto* hello = std::get_if<PeerHello>(&e.message)) {
      Run(HandlePeerHello(*board_, e.link, *hello, now_));
      return;
    }
    const PeerRow* peer = FindPeerByLink(*board_, e.link);
    if (peer == nullptr) {
      CountOne(Counter::kStaleLinkMessagesDropped);
      return;
    }
    PeerRow heard = *peer;
    heard.last_heard_at = now_.boot;
    EntryChanges changes;
    changes.Add(Put<PeerRow>{heard});
    Run(std::move(changes));
    std::visit([&](const auto& message) { OnPeer(e.link, heard.id, message); },
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
  void On(const TableSeen& e) {
    Run(HandleTableSeen(*board_, e.table, now_));
    Run(DialPeers(*board_, now_));
  }
  void On(const ConfigSeen& e) { Run(HandleConfigSeen(*board_, e.config)); }
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
    Run(ReleaseRemovedAgents(*board_, now_));
    Run(EndTasksOfLostAgents(*board_, now_));
    Run(ExpireDeadlines(*board_, now_));
    Run(ExpireUnplaceable(*board_, now_));
    ContinueWaiting();
    Run(ExpireCalls(*board_, now_));
    Run(RetryConfigChanges(*board_, now_));
    Run(Reprotect(*board_, now_));
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
    if (!SpeaksUnderItsFence(id, message.ack)) return;
    for (const TaskResult& result : message.results) {
      const AgentRow& agent = *board_->agents.Find(id);
      Run(LearnFromResult(*board_, agent, result, now_));
      Run(JudgeResult(*board_, agent, result, now_));
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
    if (!SpeaksUnderItsFence(id, message.ack)) return;
    for (const SubmissionId& submission : message.submissions) {
      Run(RecordWitness(*board_, id, message.ack.seq, submission));
      Continue(submission);
    }
  }
  void OnAgent(AgentId id, const LedgerCopyAck& message) {
    Acknowledge(id, message.ack);
    if (!SpeaksUnderItsFence(id, message.ack)) return;
    Run(HandleLedgerCopyAck(*board_, id, message));
  }
  void OnAgent(AgentId id, const MinionUpdate& message) {
    Acknowledge(id, message.ack);
    Run(HandleMinionUpdate(*board_, *board_->agents.Find(id), message));
  }
  // A hello is handled before the sender is looked up.
  void OnAgent(AgentId, const AgentHello&) {}

  void OnPeer(LinkId link, EntryId peer, const ForwardSubmit& message) {
    if (board_->authority.role == Role::kMember) return SendOurTable(link);
    const PeerRequest reply_to{peer, link, message.request_id};
    Run(AdmitSubmission(*board_, message.request, reply_to, now_));
    Resolve(MakeSubmissionId(message.request->team, message.request->key));
  }
  void OnPeer(LinkId link, EntryId peer, const ForwardFetch& message) {
    if (board_->authority.role == Role::kMember) return SendOurTable(link);
    const PeerRequest reply_to{peer, link, message.request_id};
    Run(FetchSubmission(*board_, message.submission, reply_to));
  }
  void OnPeer(LinkId link, EntryId peer, const ForwardCancel& message) {
    if (board_->authority.role == Role::kMember) return SendOurTable(link);
    const PeerRequest reply_to{peer, link, message.request_id};
    Run(CancelSubmission(*board_, message.submission, reply_to));
  }
  void OnPeer(LinkId link, EntryId, const ForwardReply& message) {
    Run(HandleForwardReply(*board_, link, message));
  }
  void OnPeer(LinkId link, EntryId, const TableUpdate& message) {
    const bool older = message.table.revision < board_->table.revision;
    Run(AdoptTable(*board_, message.table));
    Run(DialPeers(*board_, now_));
    if (!older) return;
    // The peer lacks our table. What it was asked as the new dispatcher it has
    // turned away, so it is asked again behind the table.
    SendOurTable(link);
    Run(UnrouteCallsOn(*board_, link));
  }
  void OnPeer(LinkId, EntryId, const ConfigUpdate& message) {
    Run(AdoptConfig(*board_, message.config));
  }
  void OnPeer(LinkId link, EntryId, const PeerHeartbeat& message) {
    if (message.generation < board_->table.table.generation) {
      SendOurTable(link);
    }
    // The peer sends its table to one that lacks it, which works while the
    // store is down.
    if (message.generation > board_->table.table.generation) {
      SendOurTable(link);
    }
    NoteGeneration(message.generation);
  }
  // A hello is handled before the sender is looked up.
  void OnPeer(LinkId, EntryId, const PeerHello&) {}

  void Acknowledge(AgentId id, const AgentAck& ack) {
    EntryChanges changes;
    changes.Add(Put<AgentRow>{AfterAck(*board_->agents.Find(id), ack)});
    Run(std::move(changes));
    NoteGeneration(ack.fence.generation);
  }

  // Messages under an older fence are dropped; the inventory of the newer fence
  // tells what they said.
  bool SpeaksUnderItsFence(AgentId id, const AgentAck& ack) {
    if (board_->agents.Find(id)->fence == ack.fence) return true;
    CountOne(Counter::kStaleLinkMessagesDropped);
    return false;
  }

  // Somebody knows a newer dispatcher than we do, so the table must be read.
  void NoteGeneration(std::uint64_t generation) {
    if (generation <= board_->table.table.generation) return;
    StoreStatus next = board_->store;
    if (next.read_pending) return;
    next.read_pending = true;
    EntryChanges changes;
    changes.Add(SetStoreStatus{next});
    changes.Add(ReadTable{});
    changes.Add(Count{Counter::kStoreCalls});
    Run(std::move(changes));
  }

  void SendOurTable(LinkId link) {
    EntryChanges changes;
    changes.Add(SendToPeer{link, TableUpdate{board_->table}});
    changes.Add(Count{Counter::kMessagesToPeers});
    Run(std::move(changes));
  }

  void CountOne(Counter counter) {
    EntryChanges changes;
    changes.Add(Count{counter});
    Run(std::move(changes));
  }

  void Resolve(const SubmissionId& id) {
    EntryChanges changes = ResolveSubmission(*board_, id, now_);
    while (!changes.board_changes.empty()) {
      Run(std::move(changes));
      changes = ResolveSubmission(*board_, id, now_);
    }
    Continue(id);
  }

  // Lets go on what waits for witnesses. A job whose proofs are dropped is
  // looked at again, so that it ends in the same turn.
  void Continue(const SubmissionId& id) {
    EntryChanges changes = ContinueAfterWitnesses(*board_, id, now_);
    while (!changes.board_changes.empty()) {
      Run(std::move(changes));
      changes = ContinueAfterWitnesses(*board_, id, now_);
    }
  }

  void ContinueWaiting() {
    std::set<SubmissionId> waiting = board_->waiting_witnesses;
    waiting.insert(board_->closing.begin(), board_->closing.end());
    Run(TendWitnesses(*board_, now_));
    for (const SubmissionId& id : waiting) Continue(id);
  }

  void SettleTakeover() {
    const bool settled_before = board_->authority.inventory_settled;
    Run(SettleInventory(*board_, now_));
    if (settled_before || !board_->authority.inventory_settled) return;
    std::vector<SubmissionId> open;
    for (const auto& [deadline, id] : board_->open_by_deadline) {
      open.push_back(id);
    }
    for (const SubmissionId& id : open) Resolve(id);
  }

  void RouteWaitingCalls() {
    const std::set<CallId> waiting = board_->waiting_calls;
    for (const CallId id : waiting) {
      const OpenCall call = *board_->calls.Find(id);
      if (!CanRoute(*board_, call)) continue;
      Run(RouteCall(*board_, call, now_));
      if (call.kind == CallKind::kSubmit) Resolve(call.submission);
    }
  }

  void EndJobs() {
    const std::set<SubmissionId> decided = board_->decided_jobs;
    Run(EndDecidedJobs(*board_, now_));
    // A job that found no witness to ask ends at once.
    for (const SubmissionId& id : decided) Continue(id);
  }

  bool IsStopped() const {
    return board_->stopping && OwesNothing(*board_, now_);
  }

  EntryBoard* board_;
  Now now_;
  std::vector<EntryEffect> effects_;
};

}  // namespace

std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now) {
  Stepper stepper(board, now);
  for (const EntryEvent& event : events) stepper.Handle(event);
  stepper.Settle();
  return stepper.TakeEffects();
}

}  // namespace dottereltrack
