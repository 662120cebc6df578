#include "core/pool/entry/advance.h"

#include <algorithm>

#include "core/pool/entry/links.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/placement.h"
#include "core/pool/entry/submission.h"

namespace dottereltrack::pool {
namespace {

// Runs the controllers one after the other: applies the changes of each to the
// board before the next one reads it, and collects their effects.
class Stepper {
 public:
  Stepper(EntryBoard* board, const Now& now) : board_(board), now_(now) {}

  void Handle(const EntryEvent& event) {
    std::visit([this](const auto& e) { On(e); }, event);
  }

  void Settle() {
    Run(PlaceTasks(*board_, now_));
    Run(DialPeers(*board_, now_));
    Run(OfferConfig(*board_));
  }

  std::vector<EntryEffect> TakeEffects() { return std::move(effects_); }

 private:
  void Run(EntryChanges changes) {
    Apply(board_, changes);
    for (EntryEffect& effect : changes.effects) {
      effects_.push_back(std::move(effect));
    }
  }

  void On(const JobSubmitted& e) { Run(HandleSubmission(*board_, e, now_)); }
  void On(const CallerGone& e) { Run(HandleCallerGone(*board_, e.call, now_)); }
  void On(const JobCancelled& e) { Run(HandleCancel(*board_, e, now_)); }
  void On(const LinkOpened& e) { Run(NoteMessage(*board_, e.link, now_)); }
  void On(const LinkClosed& e) { Run(HandleLinkClosed(*board_, e.link, now_)); }
  void On(const MessageReceived& e) {
    Run(NoteMessage(*board_, e.link, now_));
    std::visit([&](const auto& message) { OnMessage(e.link, message); },
               e.message);
  }
  void On(const PeerDialed& e) { Run(HandlePeerDialed(*board_, e, now_)); }
  void On(const ConfigRead& e) {
    if (e.config.version <= board_->config.version) return;
    EntryChanges changes;
    changes.Add(SetConfig{e.config, e.text});
    changes.Add(Decision{
        Weight::kBelief,
        "config_adopted",
        0,
        {},
        {{"version", static_cast<std::int64_t>(e.config.version)},
         {"former_version", static_cast<std::int64_t>(board_->config.version)},
         {"queues", static_cast<std::int64_t>(e.config.queues.size())}}});
    Run(std::move(changes));
  }
  void On(const EntriesListed& e) {
    Run(AddPeers(*board_, e.entries, EntrySource::kStore, now_));
  }
  void On(const EntriesSuggested& e) {
    Run(AddPeers(*board_, e.entries, EntrySource::kHearsay, now_));
  }
  void On(const EntryTick&) {
    Run(AbortSilentLinks(*board_, now_));
    Run(CheckJobTimes(*board_, now_));
    Run(PingIdleLinks(*board_, now_));
    ExitWhenIdle();
  }
  void On(const StopRequested&) {
    if (board_->stopping) return;
    EntryChanges changes;
    changes.Add(SetStopping{now_.boot});
    changes.Add(Decision{Weight::kBelief,
                         "stop_requested",
                         0,
                         {},
                         {{"jobs", static_cast<std::int64_t>(CountActive())}}});
    Run(std::move(changes));
  }
  void On(const PauseNoticed& e) { Run(AbortAllLinks(*board_, e.length)); }

  void OnMessage(LinkId link, const AgentHello& message) {
    Run(HandleAgentHello(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const LoadReport& message) {
    Run(HandleLoadReport(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const RunEnded& message) {
    Run(HandleRunEnded(*board_, link, message, now_));
  }
  void OnMessage(LinkId link, const StartRefused& message) {
    Run(HandleStartRefused(*board_, link, message, now_));
  }
  void OnMessage(LinkId, const EntryHello& message) {
    Run(AddPeers(*board_, message.known_entries, EntrySource::kHearsay, now_));
  }
  void OnMessage(LinkId, const KnownEntries& message) {
    Run(AddPeers(*board_, message.entries, EntrySource::kHearsay, now_));
  }
  // The process decodes the text when it arrives and posts ConfigRead.
  void OnMessage(LinkId, const ConfigOffer&) {}
  void OnMessage(LinkId, const Ping&) {}
  // Sent to agents only.
  void OnMessage(LinkId, const StartRun&) {}
  void OnMessage(LinkId, const StopRun&) {}

  std::size_t CountActive() const { return board_->active_jobs.size(); }

  void ExitWhenIdle() {
    if (!board_->stopping) return;
    const EntrySettings& settings = board_->settings;
    const BootTime age = now_.boot - board_->stopping_since;
    const bool is_idle = CountActive() == 0;
    if (age < settings.stop_max && !(is_idle && age >= settings.stop_min)) {
      return;
    }
    EntryChanges changes;
    for (const std::uint64_t id : board_->active_jobs) {
      const JobRow& job = *board_->jobs.Find(id);
      EntryChanges given_up =
          GiveUp(*board_, job,
                 job.offered ? ReplyKind::kGivenUp : ReplyKind::kStopping,
                 "this process ends", now_);
      for (auto& effect : given_up.effects) {
        changes.effects.push_back(std::move(effect));
      }
    }
    changes.Add(Exit{});
    Run(std::move(changes));
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

bool IsReady(const EntryBoard& board) {
  if (board.stopping || board.config.version == 0) return false;
  return std::any_of(board.agents.begin(), board.agents.end(),
                     [](const auto& it) { return it.second.load.accepting; });
}

std::size_t CountPending(const EntryBoard& board, const std::string& queue) {
  return std::count_if(board.active_jobs.begin(), board.active_jobs.end(),
                       [&](std::uint64_t id) {
                         const JobRow& job = *board.jobs.Find(id);
                         return !job.offered && job.queue == queue;
                       });
}

}  // namespace dottereltrack::pool
