#include "support/schedule.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace dottereltrack::testing {
namespace {

// Time between the last step and the removal of all faults.
constexpr seconds kFaultRemovalDelay{1};
// Long enough for two takeovers and the removal of dead members and agents.
constexpr seconds kRecovery{16};
constexpr milliseconds kDeadline{3'000};
// Allows for one tick and the delivery of the reply.
constexpr milliseconds kReplySlack{200};

struct Submitted {
  CallId call;
  int entry = 0;
  EntryId incarnation;
  SubmitRequest request;
  BootTime at{0};
  // The entry was frozen while the call was open, so the reply time is not
  // bounded.
  bool was_frozen = false;
};

// Runs a cell through a schedule and checks the replies to its submissions.
class ScheduleRunner {
 public:
  explicit ScheduleRunner(const Schedule& schedule)
      : schedule_(schedule), cell_(OptionsOf(schedule)) {}

  std::vector<std::string> Run() {
    cell_.RunFor(seconds{2});
    for (const Step& step : schedule_.steps) {
      cell_.RunFor(step.gap);
      Execute(step);
    }
    cell_.RunFor(kFaultRemovalDelay);
    Recover();
    CheckServesAgain();
    Check();
    return std::move(violations_);
  }

 private:
  static CellOptions OptionsOf(const Schedule& schedule) {
    CellOptions options;
    options.entries = schedule.entries;
    options.agents = schedule.agents;
    options.racks = schedule.racks;
    options.slots = schedule.slots;
    options.timer_first = schedule.timer_first;
    options.seed = schedule.seed;
    return options;
  }

  int EntryIndex(std::uint32_t n) const {
    return static_cast<int>(n % schedule_.entries);
  }
  int AgentIndex(std::uint32_t n) const {
    return static_cast<int>(n % schedule_.agents);
  }

  void Execute(const Step& step) {
    const int entry = EntryIndex(step.first_choice);
    const int agent = AgentIndex(step.second_choice);
    switch (step.kind) {
      case StepKind::kSubmitTimed:
        return Submit(entry, TimedKey(cell_.wall(), submitted_.size()),
                      step.second_choice);
      case StepKind::kSubmitOpaque:
        return Submit(entry, "job-" + std::to_string(submitted_.size()),
                      step.second_choice);
      case StepKind::kResubmit:
        return Resubmit(entry, step.second_choice, false);
      case StepKind::kReuseKey:
        return Resubmit(entry, step.second_choice, true);
      case StepKind::kCancel:
        if (const auto id = FindSubmission(step.second_choice))
          cell_.Cancel(entry, *id);
        return;
      case StepKind::kFetch:
        if (const auto id = FindSubmission(step.second_choice))
          cell_.Fetch(entry, *id);
        return;
      case StepKind::kKillEntry:
        return cell_.KillEntry(entry);
      case StepKind::kCrashDispatcher:
        if (cell_.Dispatcher() >= 0) cell_.KillEntry(cell_.Dispatcher());
        return;
      case StepKind::kKillAgent:
        ++agent_faults_;
        return cell_.KillAgent(agent);
      case StepKind::kRestartEntry:
        return RestartEntry(entry);
      case StepKind::kRestartAgent:
        return RestartAgent(agent);
      case StepKind::kFreezeEntry:
        return Freeze(entry);
      case StepKind::kFreezeAgent:
        ++agent_faults_;
        return cell_.FreezeAgent(agent, true);
      case StepKind::kUnfreezeAll:
        return UnfreezeAll();
      case StepKind::kCutLinks:
        return cell_.CutLinks(entry, agent);
      case StepKind::kCutPeers:
        return cell_.CutLinksBetween(entry, EntryIndex(step.second_choice));
      case StepKind::kBlockLinks:
        ++agent_faults_;
        return cell_.Block(entry, cell_.ProcessOfAgent(agent), true);
      case StepKind::kBlockPeers:
        return cell_.Block(entry, EntryIndex(step.second_choice), true);
      case StepKind::kUnblockAll:
        return UnblockAll();
      case StepKind::kStallLinks:
        ++agent_faults_;
        return cell_.Stall(entry, cell_.ProcessOfAgent(agent), StallEnd(step));
      case StepKind::kStallPeers:
        return cell_.Stall(entry, EntryIndex(step.second_choice),
                           StallEnd(step));
      case StepKind::kStoreMode:
        return cell_.SetStoreMode(
            static_cast<StoreMode>(1 + step.first_choice % 4));
      case StepKind::kStoreUp:
        return cell_.SetStoreMode(StoreMode::kUp);
      case StepKind::kStopEntry:
        return cell_.StopEntry(entry);
      case StepKind::kStopAgent:
        return cell_.StopAgent(agent);
      case StepKind::kReplaceMinion:
        return cell_.ReplaceMinion(agent);
      case StepKind::kLeaveMinion:
        return cell_.AnnounceMinionLeaving(agent);
      case StepKind::kFailingMinion:
        return cell_.SetMinionFailing(agent, step.first_choice % 2 == 0);
      case StepKind::kDrainMinion:
        return ChangeConfig(entry, {"minion-" + std::to_string(agent)});
      case StepKind::kChangeConfig:
        return ChangeConfig(entry, {});
    }
  }

  BootTime StallEnd(const Step& step) const {
    return cell_.now() + milliseconds{100 + 700 * (step.first_choice / 7 % 8)};
  }

  void Submit(int entry, const std::string& key, std::uint32_t size) {
    SubmitRequest request =
        MakeRequest("north", key, 1 + static_cast<int>(size % 7));
    request.deadline = kDeadline;
    SubmitRequestAt(entry, request);
  }

  void SubmitRequestAt(int entry, const SubmitRequest& request) {
    if (!cell_.IsEntryAlive(entry)) return;
    const CallId call = cell_.Submit(entry, request);
    submitted_.push_back({call, entry, cell_.entry(entry).settings.id, request,
                          cell_.now(), cell_.IsEntryFrozen(entry)});
  }

  void Resubmit(int entry, std::uint32_t n, bool other_body) {
    if (submitted_.empty()) return;
    SubmitRequest request = submitted_[n % submitted_.size()].request;
    if (other_body) request.body_digest += 1;
    SubmitRequestAt(entry, request);
  }

  std::optional<SubmissionId> FindSubmission(std::uint32_t n) const {
    if (submitted_.empty()) return std::nullopt;
    const SubmitRequest& request = submitted_[n % submitted_.size()].request;
    return MakeSubmissionId(request.team, request.key);
  }

  void ChangeConfig(int entry, std::vector<std::string> drained) {
    if (!cell_.IsEntryAlive(entry)) return;
    ++config_changes_;
    CellConfig config;
    config.drained_minions = std::move(drained);
    cell_.SetConfig(entry, cell_.entry(entry).stored_config.config.version,
                    config);
  }

  void Freeze(int entry) {
    cell_.FreezeEntry(entry, true);
    for (Submitted& it : submitted_) {
      if (it.entry == entry) it.was_frozen = true;
    }
  }

  // A running process is not restarted, because its replacement would not be
  // frozen.
  void RestartEntry(int entry) {
    if (cell_.IsEntryAlive(entry)) return;
    cell_.RestartEntry(entry);
  }
  void RestartAgent(int agent) {
    if (cell_.IsAgentAlive(agent)) return;
    cell_.RestartAgent(agent);
  }

  void UnfreezeAll() {
    for (int n = 0; n < schedule_.entries; ++n) {
      if (cell_.IsEntryFrozen(n)) cell_.FreezeEntry(n, false);
    }
    for (int n = 0; n < schedule_.agents; ++n) {
      if (cell_.IsAgentFrozen(n)) cell_.FreezeAgent(n, false);
    }
  }

  void UnblockAll() {
    const int ends = schedule_.entries + schedule_.agents;
    for (int a = 0; a < ends; ++a) {
      for (int b = 0; b < a; ++b) cell_.Block(a, b, false);
    }
  }

  void RestartAll() {
    for (int n = 0; n < schedule_.entries; ++n) RestartEntry(n);
    for (int n = 0; n < schedule_.agents; ++n) RestartAgent(n);
  }

  // After a takeover with less than half of the roster, an operator must
  // confirm which agents are dead.
  void ConfirmDead() {
    std::set<AgentId> alive;
    for (int n = 0; n < schedule_.agents; ++n) {
      if (cell_.IsAgentAlive(n)) alive.insert(cell_.agent(n).settings.id);
    }
    std::vector<AgentId> dead;
    for (const RosterAgent& it : cell_.stored_table().table.roster) {
      if (alive.count(it.id) == 0) dead.push_back(it.id);
    }
    for (int n = 0; n < schedule_.entries; ++n) {
      if (cell_.IsEntryAlive(n)) cell_.ConfirmDead(n, dead);
    }
  }

  void Recover() {
    UnblockAll();
    UnfreezeAll();
    cell_.SetStoreMode(StoreMode::kUp);
    RestartAll();
    for (int n = 0; n < schedule_.agents; ++n) {
      cell_.SetMinionFailing(n, false);
      // Replaces a minion that has announced that it leaves.
      cell_.ReplaceMinion(n);
    }
    cell_.RunFor(kRecovery);
    // Processes that were stopping have exited by now.
    RestartAll();
    cell_.RunFor(seconds{4});
    ConfirmDead();
    for (int n = 0; n < schedule_.entries; ++n) ChangeConfig(n, {});
    cell_.RunFor(kRecovery);
  }

  void CheckServesAgain() {
    std::vector<std::size_t> new_calls;
    for (int n = 0; n < schedule_.entries; ++n) {
      if (!cell_.IsEntryAlive(n)) continue;
      new_calls.push_back(submitted_.size());
      Submit(n, TimedKey(cell_.wall(), submitted_.size()), 2);
      // Jobs with opaque keys may be unknown until the records of lost agents
      // have expired.
      const bool exact = cell_.stored_table().table.lost.empty();
      if (exact) new_calls.push_back(submitted_.size());
      Submit(n, "again-" + std::to_string(n), 2);
      // Submitted all at once, the jobs of a cell with one slot would miss
      // their deadline and be refused rightly.
      cell_.RunFor(seconds{1});
    }
    cell_.RunFor(kDeadline + seconds{6});
    for (const std::size_t n : new_calls) {
      const CallerReply* reply = cell_.ReplyOf(submitted_[n].call);
      const auto* answer =
          reply == nullptr ? nullptr : std::get_if<Answer>(&reply->reply);
      if (answer == nullptr || !answer->complete) {
        AddViolation("job not completed after recovery from all faults: " +
                     submitted_[n].request.key + " at entry " +
                     std::to_string(submitted_[n].entry) + ": " +
                     TextOf(reply));
      }
    }
  }

  static std::string TextOf(const CallerReply* reply) {
    if (reply == nullptr) return "no reply";
    if (const auto* refusal = std::get_if<Refusal>(&reply->reply)) {
      return std::string("refused: ") + ToString(refusal->kind);
    }
    if (const auto* answer = std::get_if<Answer>(&reply->reply)) {
      return answer->complete ? "complete" : "failed: " + answer->failure;
    }
    return "still open";
  }

  void AddViolation(const std::string& text) { violations_.push_back(text); }

  void Check() {
    for (const TaskId& id : cell_.TasksStartedMoreThanOnce()) {
      AddViolation("task " + ToHex(id.submission) + "/" +
                   std::to_string(id.index) + " was started twice (P1, P5)");
    }
    if (cell_.overcommitted_slots() > 0)
      AddViolation("a minion had more tasks than slots");
    if (cell_.config_regressions() > 0)
      AddViolation("an older configuration replaced a newer one (P8)");
    for (const Submitted& it : submitted_) CheckReply(it);
    CheckAnswersAgree();
    CheckConfigInForce();
    CheckStoreCalls();
  }

  void CheckReply(const Submitted& it) {
    const CallerReply* reply = cell_.ReplyOf(it.call);
    const bool is_running = cell_.IsEntryAlive(it.entry) &&
                            cell_.entry(it.entry).settings.id == it.incarnation;
    const BootTime limit =
        it.at + it.request.deadline + milliseconds{5'000} + kReplySlack;
    if (reply == nullptr) {
      if (is_running) AddViolation("no reply to " + it.request.key);
      return;
    }
    if (!it.was_frozen && reply->at > limit) {
      AddViolation("reply to " + it.request.key +
                   " arrived after the time limit");
    }
    if (const auto* refusal = std::get_if<Refusal>(&reply->reply)) {
      if (refusal->not_run) CheckNotStarted(it, std::nullopt);
    } else if (const auto* answer = std::get_if<Answer>(&reply->reply)) {
      CheckAnswer(it, *answer);
    } else {
      AddViolation("a submission got neither an answer nor a refusal: " +
                   it.request.key);
    }
  }

  void CheckAnswer(const Submitted& it, const Answer& answer) {
    if (answer.outcomes.size() != it.request.tasks.size()) {
      return AddViolation("partial answer to " + it.request.key + " (P2)");
    }
    for (std::size_t n = 0; n < answer.outcomes.size(); ++n) {
      const TaskOutcome& outcome = answer.outcomes[n];
      if (const auto* done = std::get_if<Done>(&outcome)) {
        if (*done->result != "result of " + *it.request.tasks[n].payload) {
          AddViolation("result of another task in " + it.request.key + " (P3)");
        }
      } else if (answer.complete) {
        AddViolation("answer marked complete without all results: " +
                     it.request.key + " (P2)");
      }
      if (std::holds_alternative<NotRun>(outcome)) CheckNotStarted(it, n);
    }
  }

  void CheckNotStarted(const Submitted& it, std::optional<std::size_t> index) {
    const SubmissionId id = MakeSubmissionId(it.request.team, it.request.key);
    for (std::uint32_t n = 0; n < it.request.tasks.size(); ++n) {
      if (index && n != *index) continue;
      if (cell_.starts().count({id, n}) == 0) continue;
      AddViolation("a task reported as not_run was started: " + it.request.key +
                   "/" + std::to_string(n) + " (P4)");
    }
  }

  // Two answers to one submission must not contradict each other, but a task
  // may be unknown in one and known in the other.
  void CheckAnswersAgree() {
    std::map<std::string, const Answer*> first;
    for (const Submitted& it : submitted_) {
      const CallerReply* reply = cell_.ReplyOf(it.call);
      if (reply == nullptr) continue;
      const auto* answer = std::get_if<Answer>(&reply->reply);
      if (answer == nullptr) continue;
      const auto [known, is_new] = first.emplace(it.request.key, answer);
      if (!is_new) CheckAnswerPair(it.request.key, *known->second, *answer);
    }
  }

  void CheckAnswerPair(const std::string& key, const Answer& a,
                       const Answer& b) {
    for (std::size_t n = 0; n < std::min(a.outcomes.size(), b.outcomes.size());
         ++n) {
      const bool unknown = std::holds_alternative<Unknown>(a.outcomes[n]) ||
                           std::holds_alternative<Unknown>(b.outcomes[n]);
      if (!unknown && a.outcomes[n].index() != b.outcomes[n].index()) {
        AddViolation("the final answer to " + key + " changed");
      }
    }
    // If agents were missing at a takeover, tasks of a complete job may be
    // unknown in a later answer.
    if (a.complete != b.complete && agent_faults_ == 0) {
      AddViolation("the answer to " + key +
                   " changed between complete and failed");
    }
  }

  void CheckConfigInForce() {
    const std::uint64_t revision = cell_.stored_config().revision;
    for (int n = 0; n < schedule_.entries; ++n) {
      if (!cell_.IsEntryAlive(n)) continue;
      if (cell_.entry(n).stored_config.revision != revision) {
        AddViolation("entry without the newest configuration (P8)");
      }
    }
    for (int n = 0; n < schedule_.agents; ++n) {
      if (!cell_.IsAgentAlive(n)) continue;
      if (cell_.agent(n).config.revision != revision) {
        AddViolation("agent without the newest configuration (P8)");
      }
    }
  }

  void CheckStoreCalls() {
    const auto elapsed =
        std::chrono::duration_cast<seconds>(cell_.now()).count();
    const std::uint64_t limit =
        50 + 4 * schedule_.entries * static_cast<std::uint64_t>(elapsed) +
        10 * schedule_.steps.size() + 40 * config_changes_;
    if (cell_.store_calls() > limit) {
      AddViolation(
          "too many store calls: " + std::to_string(cell_.store_calls()) +
          ", limit " + std::to_string(limit));
    }
  }

  const Schedule& schedule_;
  TestCell cell_;
  std::vector<Submitted> submitted_;
  std::vector<std::string> violations_;
  std::uint64_t config_changes_ = 0;
  // Number of faults that can keep an agent's inventory from a later
  // dispatcher.
  int agent_faults_ = 0;
};

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << ", " << step.gap.count()
             << ", " << step.first_choice << ", " << step.second_choice << "}";
}

std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  out << schedule.entries << " entries, " << schedule.agents << " agents, "
      << schedule.racks << " racks, " << schedule.slots << " slots, seed "
      << schedule.seed << (schedule.timer_first ? ", timer first" : "") << ":";
  for (const Step& step : schedule.steps) out << " " << step;
  return out;
}

std::vector<std::string> RunSchedule(const Schedule& schedule) {
  return ScheduleRunner(schedule).Run();
}

}  // namespace dottereltrack::testing
