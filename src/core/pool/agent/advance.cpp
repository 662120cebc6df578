#include "core/pool/agent/advance.h"

#include <algorithm>

#include "core/pool/agent/config_copies.h"
#include "core/pool/agent/crashes.h"
#include "core/pool/agent/evacuation.h"
#include "core/pool/agent/instances.h"
#include "core/pool/agent/links.h"
#include "core/pool/agent/polls.h"
#include "core/pool/agent/runs.h"

namespace dottereltrack::pool {
namespace {

// Runs the controllers one after the other: applies the changes of each to the
// board before the next one reads it, and collects their effects.
class ControllerRunner {
 public:
  ControllerRunner(AgentBoard* board, const Now& now)
      : board_(board), now_(now), minion_before_(board->minion) {}

  void Handle(const AgentEvent& event) {
    std::visit([this](const auto& e) { OnEvent(e); }, event);
  }

  void RunControllers() {
    ApplyChanges(EndRunsWithExpiredLease(*board_, now_));
    ApplyChanges(AdoptSuccessor(*board_, now_));
    ApplyChanges(SendStops(*board_, now_));
    ApplyChanges(PollMinion(*board_, now_));
    ApplyChanges(AnnounceMinion(*board_, minion_before_));
    ApplyChanges(SendEvacuations(*board_));
    ApplyChanges(ReportLoad(*board_, now_));
    ApplyChanges(DialEntries(*board_, now_));
  }

  std::vector<AgentEffect> TakeEffects() { return std::move(effects_); }

 private:
  void ApplyChanges(AgentChanges changes) {
    for (AgentEffect& effect : Apply(board_, std::move(changes))) {
      effects_.push_back(std::move(effect));
    }
  }

  void OnEvent(const EntryDialed& e) {
    ApplyChanges(HandleEntryDialed(*board_, e, now_));
  }
  void OnEvent(const EntryLinkClosed& e) {
    ApplyChanges(HandleEntryLinkClosed(*board_, e.link, now_));
  }
  void OnEvent(const EntryMessage& e) {
    // The task of a start that was queued during a pause may already run on
    // another minion.
    if (paused_) return;
    ApplyChanges(RecordEntryLinkActivity(*board_, e.link, now_));
    std::visit([&](const auto& message) { OnMessage(e.link, message); },
               e.message);
  }
  void OnEvent(const EntriesRegistered& e) {
    ApplyChanges(AddEntries(*board_, e.entries, EntrySource::kStore, now_));
  }
  void OnEvent(const AgentSeedsRead& e) {
    ApplyChanges(AddEntries(*board_, e.entries, EntrySource::kHint, now_));
  }
  void OnEvent(const MinionReported& e) {
    ApplyChanges(HandleMinionReport(*board_, e.report, now_));
  }
  void OnEvent(const MinionLeft& e) {
    ApplyChanges(HandleMinionLeft(*board_, e, now_));
  }
  void OnEvent(const StartAnswered& e) {
    ApplyChanges(HandleStartAnswered(*board_, e, now_));
  }
  void OnEvent(const StopAnswered& e) {
    ApplyChanges(HandleStopAnswered(*board_, e, now_));
  }
  void OnEvent(const PollAnswered& e) {
    ApplyChanges(HandlePollAnswered(*board_, e, now_));
  }
  void OnEvent(const AgentTick&) {
    ApplyChanges(AbortSilentEntryLinks(*board_, now_));
    ApplyChanges(CloseSurplusLinks(*board_, now_));
    ApplyChanges(StopStalledRuns(*board_, now_));
    ApplyChanges(ForgetExcessCrashes(*board_));
    ApplyChanges(RequestConfigCopy(*board_, now_));
    ApplyChanges(PingIdleEntryLinks(*board_, now_));
    ExitWhenIdle();
  }
  void OnEvent(const AgentStopRequested&) {
    if (board_->stopping) return;
    AgentChanges changes;
    changes.Add(SetAgentStopping{now_.boot});
    changes.Add(
        Decision{Severity::kStateChange,
                 "stop_requested",
                 0,
                 {},
                 {{"runs", static_cast<std::int64_t>(board_->runs.size())}}});
    ApplyChanges(std::move(changes));
  }
  void OnEvent(const AgentPaused& e) {
    paused_ = true;
    ApplyChanges(AbortAllEntryLinks(*board_, e.duration));
    ApplyChanges(PollAfterPause(*board_, e.duration, now_));
  }

  void OnMessage(LinkId link, const EntryHello& message) {
    ApplyChanges(HandleEntryHello(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const StartRun& message) {
    ApplyChanges(HandleStart(*board_, link, message, now_));
  }
  void OnMessage(LinkId, const StopRun& message) {
    ApplyChanges(HandleStop(*board_, message, now_));
  }
  void OnMessage(LinkId, const KnownEntries& message) {
    ApplyChanges(
        AddEntries(*board_, message.entries, EntrySource::kHint, now_));
  }
  void OnMessage(LinkId link, const EvacuationList& message) {
    ApplyChanges(HandleEvacuationList(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const ConfigAnnouncement& message) {
    ApplyChanges(HandleConfigAnnouncement(*board_, link, message));
  }
  void OnMessage(LinkId link, const ConfigRequest&) {
    ApplyChanges(HandleConfigRequest(*board_, link));
  }
  void OnMessage(LinkId link, const ConfigOffer& message) {
    ApplyChanges(HandleConfigOffer(*board_, link, message, now_));
  }
  void OnMessage(LinkId, const Ping&) {}
  // Sent to entries only.
  void OnMessage(LinkId, const AgentHello&) {}
  void OnMessage(LinkId, const LoadReport&) {}
  void OnMessage(LinkId, const StartRefused&) {}
  void OnMessage(LinkId, const RunEnded&) {}
  void OnMessage(LinkId, const EntryLoad&) {}
  void OnMessage(LinkId, const ForwardJob&) {}
  void OnMessage(LinkId, const ForwardedJobEnded&) {}
  void OnMessage(LinkId, const CancelJob&) {}
  void OnMessage(LinkId, const JobCancelled&) {}
  void OnMessage(LinkId, const AcceptedJobs&) {}
  void OnMessage(LinkId, const FollowJob&) {}

  void ExitWhenIdle() {
    if (!board_->stopping) return;
    const BootTime age = now_.boot - board_->stopping_since;
    if (!board_->runs.empty() && age < board_->settings.max_shutdown_time) {
      return;
    }
    AgentChanges changes;
    changes.Add(ExitAgent{});
    ApplyChanges(std::move(changes));
  }

  AgentBoard* board_;
  Now now_;
  std::optional<MinionReport> minion_before_;
  // A pause of the process was detected in this turn, so messages that are
  // received in it are out of date.
  bool paused_ = false;
  std::vector<AgentEffect> effects_;
};

}  // namespace

std::vector<AgentEffect> Advance(AgentBoard* board,
                                 const std::vector<AgentEvent>& events,
                                 const Now& now) {
  ControllerRunner runner(board, now);
  for (const AgentEvent& event : events) runner.Handle(event);
  runner.RunControllers();
  return runner.TakeEffects();
}

}  // namespace dottereltrack::pool
