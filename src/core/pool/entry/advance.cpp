#include "core/pool/entry/advance.h"

#include <algorithm>

#include "core/pool/entry/accepted_jobs.h"
#include "core/pool/entry/cancels.h"
#include "core/pool/entry/config_exchange.h"
#include "core/pool/entry/crashes.h"
#include "core/pool/entry/entry_load.h"
#include "core/pool/entry/evacuation.h"
#include "core/pool/entry/followers.h"
#include "core/pool/entry/forwarded_jobs.h"
#include "core/pool/entry/forwarding.h"
#include "core/pool/entry/links.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/past_jobs.h"
#include "core/pool/entry/pending_submissions.h"
#include "core/pool/entry/placement.h"
#include "core/pool/entry/refusal.h"
#include "core/pool/entry/submission.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

// Runs the controllers one after the other: applies the changes of each to the
// board before the next one reads it, and collects their effects.
class ControllerRunner {
 public:
  ControllerRunner(EntryBoard* board, const Now& now,
                   const CallerCheck& is_connected)
      : board_(board), now_(now), is_connected_(is_connected) {
    EntryChanges changes;
    changes.Add(SetLateBefore{now.boot});
    ApplyChanges(std::move(changes));
  }

  void Handle(const EntryEvent& event) {
    std::visit([this](const auto& e) { OnEvent(e); }, event);
  }

  void RunControllers() {
    ReleaseSubmissions();
    DropCalls(CallsOfLostPeers(*board_, now_),
              "the first entry is lost or silent");
    ApplyChanges(SeparateSuspects(*board_));
    ApplyChanges(EndCrashingJobs(*board_, now_));
    // Before starts and configurations are sent over the same links.
    ApplyChanges(SendEvacuations(*board_));
    ApplyChanges(RefuseEvacuatedJobs(*board_, now_));
    BeginJobs(&ForwardJobs);
    BeginJobs(&PlaceTasks);
    ApplyChanges(AnnounceAcceptedJobs(*board_, now_));
    ApplyChanges(DialPeers(*board_, now_));
    ApplyChanges(OfferCapacity(*board_, now_));
  }

  std::vector<EntryEffect> TakeEffects() { return std::move(effects_); }

 private:
  void ApplyChanges(EntryChanges changes) {
    for (EntryEffect& effect : Apply(board_, std::move(changes))) {
      const auto* reply = std::get_if<Reply>(&effect);
      if (reply != nullptr && IsForwardedCall(reply->call)) {
        ApplyChanges(SendForwardedReply(*board_, *reply));
      } else {
        RecordSent(effect);
        effects_.push_back(std::move(effect));
      }
    }
  }

  // A link that carries other messages needs no ping.
  void RecordSent(const EntryEffect& effect) {
    const auto* sent = std::get_if<SendMessage>(&effect);
    if (sent == nullptr) return;
    ApplyChanges(RecordLinkSend(*board_, sent->link, now_));
  }

  void DropCalls(const std::vector<ForwardedCall>& calls,
                 const std::string& reason) {
    for (const ForwardedCall& call : calls) {
      EntryChanges changes = DropForwardedCall(*board_, call, reason, now_);
      // A first entry that still lives does not wait for the job any longer.
      changes.Add(SendMessage{
          call.link, ForwardedJobEnded{call.job, ForwardedOutcome::kGivenUp}});
      ApplyChanges(std::move(changes));
    }
  }

  // Accepts or refuses the jobs that have been held for the peers.
  void ReleaseSubmissions() {
    for (const PendingSubmission& held :
         FindAnsweredSubmissions(*board_, now_)) {
      ApplyChanges(ReleaseSubmission(*board_, held));
      PeerAnswers answers = held.answers;
      answers.are_complete = !held.awaits_announcements;
      ApplyChanges(
          HandleSubmission(*board_, ResubmitNow(held, now_), now_, answers));
    }
  }

  void GiveUpSubmissions(bool process_ends) {
    for (const PendingSubmission& held :
         FindOverdueSubmissions(*board_, process_ends, now_)) {
      ApplyChanges(GiveUpSubmission(*board_, held, now_));
    }
  }

  // Forwards jobs or places tasks. A job is not begun for callers that have
  // disconnected: one that has lost its connection may submit the job to
  // another entry at once.
  void BeginJobs(EntryChanges (*decide)(const EntryBoard&, const Now&)) {
    EntryChanges changes = decide(*board_, now_);
    auto gone = FindDisconnectedCallers(*board_, changes, is_connected_);
    while (!gone.empty()) {
      for (const CallId& call : gone) {
        ApplyChanges(HandleCallerDisconnected(*board_, call, now_));
      }
      changes = decide(*board_, now_);
      gone = FindDisconnectedCallers(*board_, changes, is_connected_);
    }
    ApplyChanges(std::move(changes));
  }

  void OnEvent(const JobSubmitted& e) {
    ApplyChanges(HandleSubmission(*board_, e, now_));
  }
  void OnEvent(const CallerDisconnected& e) {
    ApplyChanges(DropSubmission(*board_, e.call));
    ApplyChanges(HandleCallerDisconnected(*board_, e.call, now_));
  }
  void OnEvent(const JobCancelRequested& e) {
    ApplyChanges(HandleCancel(*board_, e, now_));
  }
  void OnEvent(const LinkOpened& e) {
    ApplyChanges(RecordLinkActivity(*board_, e.link, now_));
  }
  void OnEvent(const LinkClosed& e) {
    ApplyChanges(EndQuestionsToPeer(*board_, e.link, now_));
    ApplyChanges(LosePeerJobs(*board_, e.link, now_));
    ApplyChanges(GiveUpForwardedJobs(*board_, e.link, now_));
    ApplyChanges(HandleLinkClosed(*board_, e.link, now_));
    ExchangeConfig();
    ApplyChanges(EndCancelsOfLink(*board_, e.link));
  }
  void OnEvent(const MessageReceived& e) {
    ApplyChanges(RecordLinkActivity(*board_, e.link, now_));
    std::visit([&](const auto& message) { OnMessage(e.link, message); },
               e.message);
  }
  void OnEvent(const PeerDialed& e) {
    ApplyChanges(HandlePeerDialed(*board_, e, now_));
    ExchangeConfig();
    if (e.link) ApplyChanges(TellRecentCancels(*board_, *e.link, now_));
  }
  void OnEvent(const ConfigRead& e) {
    ApplyChanges(HandleConfigRead(*board_, e));
    ExchangeConfig();
  }
  void OnEvent(const ConfigRefused& e) {
    ApplyChanges(HandleConfigRefused(*board_, e, now_));
    ExchangeConfig();
  }
  void OnEvent(const EvacuationsRead& e) {
    ApplyChanges(HandleEvacuationsRead(*board_, e.view, now_));
  }
  void OnEvent(const EntriesListed& e) {
    ApplyChanges(AddPeers(*board_, e.entries, EntrySource::kStore, now_));
  }
  void OnEvent(const EntrySeedsRead& e) {
    ApplyChanges(AddPeers(*board_, e.entries, EntrySource::kHint, now_));
  }
  void OnEvent(const EntryTick&) {
    ApplyChanges(AbortSilentLinks(*board_, now_));
    ApplyChanges(CheckTimeLimits(*board_, now_));
    ApplyChanges(RefuseHopelessJobs(*board_, now_));
    GiveUpSubmissions(false);
    ApplyChanges(EndOverdueCancels(*board_, now_));
    ApplyChanges(ForgetPastJobs(*board_, now_));
    ApplyChanges(ForgetAcceptedJobs(*board_, now_));
    ApplyChanges(ForgetExcessCrashes(*board_));
    ExchangeConfig();
    ApplyChanges(PingIdleLinks(*board_, now_));
    ExitWhenIdle();
  }
  void OnEvent(const LoopLoadMeasured& e) {
    ApplyChanges(HandleLoopLoad(*board_, e));
    ApplyChanges(AdjustReportIntervals(*board_));
    ApplyChanges(AnnounceOverload(*board_));
  }
  void OnEvent(const EntryStopRequested&) {
    if (board_->stopping) return;
    EntryChanges changes;
    changes.Add(SetEntryStopping{now_.boot});
    changes.Add(Decision{Severity::kStateChange,
                         "stop_requested",
                         0,
                         {},
                         {{"jobs", static_cast<std::int64_t>(CountActive())}}});
    ApplyChanges(std::move(changes));
  }
  void OnEvent(const EntryPaused& e) {
    ApplyChanges(AbortAllLinks(*board_, e.duration, now_));
  }

  void OnMessage(LinkId link, const AgentHello& message) {
    ApplyChanges(HandleAgentHello(*board_, link, message, now_));
    ApplyChanges(HandleCrashReports(*board_, message.crashes, now_));
  }
  void OnMessage(LinkId link, const LoadReport& message) {
    ApplyChanges(HandleLoadReport(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const RunEnded& message) {
    ApplyChanges(HandleRunEnded(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const StartRefused& message) {
    ApplyChanges(HandleStartRefused(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const EntryHello& message) {
    ApplyChanges(HandleAnnouncementRequest(*board_, link, message));
    ApplyChanges(
        AddPeers(*board_, message.known_entries, EntrySource::kHint, now_));
    ApplyChanges(HandleCrashReports(*board_, message.crashes, now_));
  }
  void OnMessage(LinkId, const KnownEntries& message) {
    ApplyChanges(AddPeers(*board_, message.entries, EntrySource::kHint, now_));
  }
  void OnMessage(LinkId link, const EvacuationList& message) {
    ApplyChanges(HandleEvacuationList(*board_, link, message, now_));
  }
  // The process reads the text when it arrives and posts ConfigRead.
  void OnMessage(LinkId link, const ConfigOffer& message) {
    ApplyChanges(HandleConfigOffer(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const ConfigAnnouncement& message) {
    ApplyChanges(HandleConfigAnnouncement(*board_, link, message));
    ExchangeConfig();
  }
  void OnMessage(LinkId link, const ConfigRequest&) {
    ApplyChanges(HandleConfigRequest(*board_, link, now_));
    ExchangeConfig();
  }
  void OnMessage(LinkId, const Ping&) {}
  void OnMessage(LinkId link, const EntryLoad& message) {
    ApplyChanges(HandleEntryLoad(*board_, link, message));
  }
  void OnMessage(LinkId link, const ForwardJob& message) {
    EntryChanges changes;
    const auto job = AcceptForwardedJob(*board_, link, message, &changes);
    ApplyChanges(std::move(changes));
    if (job) ApplyChanges(HandleSubmission(*board_, *job, now_));
  }
  void OnMessage(LinkId link, const AcceptedJobs& message) {
    ApplyChanges(HandleAcceptedJobs(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const FollowJob& message) {
    ApplyChanges(HandleFollowJob(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const ForwardedJobEnded& message) {
    ApplyChanges(HandlePeerAnswer(*board_, link, message, now_));
    ApplyChanges(HandleForwardedJobEnded(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const CancelJob& message) {
    ApplyChanges(message.is_final
                     ? HandleCancelJob(*board_, link, message, now_)
                     : HandleWithdrawal(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const JobCancelled& message) {
    ApplyChanges(HandleJobCancelled(*board_, link, message));
  }
  // Sent to agents only.
  void OnMessage(LinkId, const StartRun&) {}
  void OnMessage(LinkId, const StopRun&) {}

  void ExchangeConfig() {
    // A process that gets a configuration must know the evacuations.
    ApplyChanges(SendEvacuations(*board_));
    ApplyChanges(AnnounceConfig(*board_, now_));
    ApplyChanges(FetchConfig(*board_, now_));
    ApplyChanges(ServeConfig(*board_, now_));
  }

  std::size_t CountActive() const { return board_->active_jobs.size(); }

  void ExitWhenIdle() {
    if (!board_->stopping) return;
    const EntrySettings& settings = board_->settings;
    const BootTime age = now_.boot - board_->stopping_since;
    const bool is_idle =
        CountActive() == 0 && board_->pending_submissions.empty();
    if (age < settings.max_shutdown_time &&
        !(is_idle && age >= settings.min_shutdown_time)) {
      return;
    }
    GiveUpSubmissions(true);
    EntryChanges changes;
    for (const std::uint64_t id : board_->active_jobs) {
      const JobRow& job = *board_->jobs.Find(id);
      changes.Append(AbandonJob(*board_, job,
                                RefusalOf(job, ReplyKind::kStopping),
                                "this process ends", now_));
    }
    changes.Add(ExitEntry{});
    ApplyChanges(std::move(changes));
  }

  EntryBoard* board_;
  Now now_;
  const CallerCheck& is_connected_;
  std::vector<EntryEffect> effects_;
};

}  // namespace

std::vector<EntryEffect> Advance(EntryBoard* board,
                                 const std::vector<EntryEvent>& events,
                                 const Now& now,
                                 const CallerCheck& is_connected) {
  ControllerRunner runner(board, now, is_connected);
  for (const EntryEvent& event : events) runner.Handle(event);
  runner.RunControllers();
  return runner.TakeEffects();
}

bool IsReady(const EntryBoard& board) {
  if (board.stopping || board.config.version == 0) return false;
  return std::any_of(
      board.agents.begin(), board.agents.end(),
      [&](const auto& it) { return IsUsable(board, it.second); });
}

std::size_t CountPending(const EntryBoard& board, const std::string& queue) {
  const auto pending = board.pending_by_queue.find(queue);
  return pending == board.pending_by_queue.end() ? 0 : pending->second;
}

}  // namespace dottereltrack::pool
