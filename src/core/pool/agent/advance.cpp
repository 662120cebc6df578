#include "core/pool/agent/advance.h"

#include <algorithm>

#include "core/pool/agent/links.h"
#include "core/pool/agent/looks.h"
#include "core/pool/agent/runs.h"

namespace dottereltrack::pool {
namespace {

// Runs the controllers one after the other: applies the changes of each to the
// board before the next one reads it, and collects their effects.
class Stepper {
 public:
  Stepper(AgentBoard* board, const Now& now)
      : board_(board), now_(now), minion_before_(board->minion) {}

  void Handle(const AgentEvent& event) {
    std::visit([this](const auto& e) { On(e); }, event);
  }

  void Settle() {
    Run(EndLapsedRuns(*board_, now_));
    Run(SendStops(*board_, now_));
    Run(LookAtMinion(*board_, now_));
    Run(AnnounceMinion(*board_, minion_before_));
    Run(ReportLoad(*board_, now_));
    Run(DialEntries(*board_, now_));
  }

  std::vector<AgentEffect> TakeEffects() { return std::move(effects_); }

 private:
  void Run(AgentChanges changes) {
    Apply(board_, changes);
    for (AgentEffect& effect : changes.effects) {
      effects_.push_back(std::move(effect));
    }
  }

  void On(const EntryDialed& e) { Run(HandleEntryDialed(*board_, e, now_)); }
  void On(const EntryLinkClosed& e) {
    Run(HandleEntryLinkClosed(*board_, e.link, now_));
  }
  void On(const EntryMessage& e) {
    // The task of a start that was queued during a pause may already run on
    // another minion.
    if (paused_) return;
    Run(NoteEntryMessage(*board_, e.link, now_));
    std::visit([&](const auto& message) { OnMessage(e.link, message); },
               e.message);
  }
  void On(const EntriesRegistered& e) {
    Run(AddEntries(*board_, e.entries, EntrySource::kStore, now_));
  }
  void On(const EntriesNamed& e) {
    Run(AddEntries(*board_, e.entries, EntrySource::kHearsay, now_));
  }
  void On(const MinionReported& e) {
    Run(HandleMinionReport(*board_, e.report, now_));
  }
  void On(const MinionLeft& e) { Run(HandleMinionLeft(*board_, e, now_)); }
  void On(const StartAnswered& e) {
    Run(HandleStartAnswered(*board_, e, now_));
  }
  void On(const StopAnswered& e) { Run(HandleStopAnswered(*board_, e, now_)); }
  void On(const LookAnswered& e) { Run(HandleLookAnswered(*board_, e, now_)); }
  void On(const AgentTick&) {
    Run(AbortSilentEntries(*board_, now_));
    Run(StopStalledRuns(*board_, now_));
    Run(PingIdleEntries(*board_, now_));
    ExitWhenIdle();
  }
  void On(const AgentStopRequested&) {
    if (board_->stopping) return;
    AgentChanges changes;
    changes.Add(SetAgentStopping{now_.boot});
    changes.Add(
        Decision{Weight::kBelief,
                 "stop_requested",
                 0,
                 {},
                 {{"runs", static_cast<std::int64_t>(board_->runs.size())}}});
    Run(std::move(changes));
  }
  void On(const AgentPaused& e) {
    paused_ = true;
    Run(AbortAllEntries(*board_, e.length));
  }

  void OnMessage(LinkId link, const EntryHello& message) {
    Run(HandleEntryHello(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const StartRun& message) {
    Run(HandleStart(*board_, link, message, now_));
  }
  void OnMessage(LinkId, const StopRun& message) {
    Run(HandleStop(*board_, message, now_));
  }
  void OnMessage(LinkId, const KnownEntries& message) {
    Run(AddEntries(*board_, message.entries, EntrySource::kHearsay, now_));
  }
  void OnMessage(LinkId, const Ping&) {}
  // Sent to entries only.
  void OnMessage(LinkId, const ConfigOffer&) {}
  void OnMessage(LinkId, const AgentHello&) {}
  void OnMessage(LinkId, const LoadReport&) {}
  void OnMessage(LinkId, const StartRefused&) {}
  void OnMessage(LinkId, const RunEnded&) {}

  void ExitWhenIdle() {
    if (!board_->stopping) return;
    const BootTime age = now_.boot - board_->stopping_since;
    if (!board_->runs.empty() && age < board_->settings.stop_max) return;
    AgentChanges changes;
    changes.Add(ExitAgent{});
    Run(std::move(changes));
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
  Stepper stepper(board, now);
  for (const AgentEvent& event : events) stepper.Handle(event);
  stepper.Settle();
  return stepper.TakeEffects();
}

}  // namespace dottereltrack::pool
