#include "core/pool/agent/runs.h"

#include <algorithm>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/fencing.h"
#include "core/pool/agent/health.h"

namespace dottereltrack::pool {
namespace {

// Delay before a stop call that was not accepted is repeated.
constexpr milliseconds kStopRetry{50};

void MarkReportDue(const AgentBoard& board, LinkId link,
                   AgentChanges* changes) {
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr || known->report_due) return;
  EntryLinkRow row = *known;
  row.report_due = true;
  changes->Add(Put<EntryLinkRow>{row});
}

Decision RunDecision(const RunKey& run, Weight weight, std::string what,
                     const std::string& reason) {
  return {weight,
          std::move(what),
          run.task.job,
          {{"task", ToText(run.task)}, {"reason", reason}},
          {{"run", static_cast<std::int64_t>(run.number)}}};
}

void Refuse(const AgentBoard& board, LinkId link, const RunKey& run,
            StartRefusal refusal, const std::string& reason,
            AgentChanges* changes) {
  changes->Add(SendToEntry{link, StartRefused{run, refusal}});
  const Weight weight =
      refusal == StartRefusal::kNoRoom ? Weight::kRoutine : Weight::kFailure;
  Decision decision = RunDecision(run, weight, "start_refused", reason);
  const Resources free = FreeRoom(board);
  decision.figures.emplace_back("free_cpu_millis", free.cpu_millis);
  decision.figures.emplace_back("runs",
                                static_cast<std::int64_t>(board.runs.size()));
  changes->Add(std::move(decision));
}

bool HasRunOf(const AgentBoard& board, const TaskKey& task) {
  const auto it = board.runs.LowerBound({task, 0});
  return it != board.runs.end() && it->first.task == task;
}

// Returns why the run cannot be started now, or null if it can.
const char* ObstacleTo(const AgentBoard& board, const StartRun& start,
                       const Now& now) {
  if (!IsAccepting(board, now)) return "the minion takes no runs";
  if (!Fits(start.needs, FreeRoom(board))) return "no room";
  if (HasRunOf(board, start.run.task)) {
    return "another run of the task has not ended";
  }
  return nullptr;
}

RunRow Stopping(RunRow run, RunEnd reason, const Now& now) {
  run.phase = RunPhase::kStopping;
  run.stop_reason = reason;
  run.next_stop_at = now.boot;
  return run;
}

// Removes a refused run, which releases its resources. Its entry may start the
// task on another minion.
AgentChanges DropRefused(const AgentBoard& board, const RunRow& run,
                         StartRefusal refusal, const std::string& reason) {
  AgentChanges changes;
  changes.Add(Erase<RunRow>{run.key});
  Refuse(board, run.link, run.key, refusal, reason, &changes);
  MarkReportDue(board, run.link, &changes);
  return changes;
}

}  // namespace

AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const StartRun& message, const Now& now) {
  AgentChanges changes;
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr) return changes;
  const RunKey& run = message.run;
  const char* obstacle = ObstacleTo(board, message, now);
  EntryLinkRow row = *known;
  row.handled_starts = message.sequence;
  row.report_due = row.report_due || obstacle != nullptr;
  changes.Add(Put<EntryLinkRow>{row});
  if (obstacle != nullptr) {
    Refuse(board, link, run,
           IsAccepting(board, now) ? StartRefusal::kNoRoom
                                   : StartRefusal::kNotAccepting,
           obstacle, &changes);
    return changes;
  }
  RunRow started;
  started.key = run;
  started.link = link;
  started.entry = row.entry;
  started.needs = message.needs;
  started.estimate = message.estimate;
  started.started_at = now.boot;
  started.progress_at = now.boot;
  changes.Add(Put<RunRow>{started});
  LookState look = board.look;
  look.lease_ends_at = now.boot + board.settings.lease_bound;
  look.former_lease_ends_at = look.lease_ends_at;
  changes.Add(SetLook{look});
  changes.Add(CallStart{*board.minion, run, message.payload,
                        MinionClock(board, now) + board.settings.lease.count(),
                        board.fencing_token, board.settings.call_timeout});
  return changes;
}

AgentChanges HandleStop(const AgentBoard& board, const StopRun& message,
                        const Now& now) {
  AgentChanges changes;
  const RunRow* run = board.runs.Find(message.run);
  if (run == nullptr || run->phase == RunPhase::kStopping) return changes;
  changes.Add(Put<RunRow>{Stopping(*run, RunEnd::kStopped, now)});
  return changes;
}

AgentChanges HandleStartAnswered(const AgentBoard& board,
                                 const StartAnswered& e, const Now& now) {
  AgentChanges changes;
  const RunRow* run = board.runs.Find(e.run);
  if (run == nullptr || run->phase != RunPhase::kStarting) return changes;
  switch (e.answer) {
    case CallAnswer::kAccepted: {
      RunRow running = *run;
      running.phase = RunPhase::kRunning;
      running.phase_since = now.boot;
      changes.Add(Put<RunRow>{running});
      return changes;
    }
    case CallAnswer::kNoRoom:
      return DropRefused(board, *run, StartRefusal::kNoRoom,
                         "the minion has no room");
    case CallAnswer::kOldNumber:
      return DropRefused(board, *run, StartRefusal::kOldNumber,
                         "the minion knows a higher run number");
    case CallAnswer::kInvalid:
      return DropRefused(board, *run, StartRefusal::kRejected,
                         "the minion rejects the task");
    case CallAnswer::kFenced: {
      changes = DropRefused(board, *run, StartRefusal::kNotAccepting,
                            "the minion has seen a higher fencing token");
      changes.Add(SetFencingToken{HigherToken(board, now)});
      return changes;
    }
    case CallAnswer::kLate:
    case CallAnswer::kOtherInstance:
    case CallAnswer::kUnavailable:
    case CallAnswer::kNotConnected:
      return DropRefused(board, *run, StartRefusal::kNotAccepting,
                         e.answer == CallAnswer::kLate
                             ? "the start reached the minion too late"
                             : "the minion is unavailable");
    case CallAnswer::kUnanswered: {
      RunRow unconfirmed = *run;
      unconfirmed.phase = RunPhase::kUnconfirmed;
      unconfirmed.phase_since = now.boot;
      changes.Add(Put<RunRow>{unconfirmed});
      changes.Add(RunDecision(e.run, Weight::kFailure, "start_unanswered",
                              "no answer of the minion"));
      return changes;
    }
  }
  return changes;
}

AgentChanges HandleStopAnswered(const AgentBoard& board, const StopAnswered& e,
                                const Now& now) {
  AgentChanges changes;
  const RunRow* known = board.runs.Find(e.run);
  if (known == nullptr) return changes;
  RunRow run = *known;
  run.stop_in_flight = false;
  run.next_stop_at = now.boot + kStopRetry;
  if (e.answer == CallAnswer::kAccepted) run.stop_answered_at = now.boot;
  changes.Add(Put<RunRow>{run});
  return changes;
}

AgentChanges StopRunsOf(const AgentBoard& board, LinkId link, const Now& now) {
  AgentChanges changes;
  for (const auto& [key, run] : board.runs) {
    if (run.link != link || run.phase == RunPhase::kStopping) continue;
    changes.Add(Put<RunRow>{Stopping(run, RunEnd::kStopped, now)});
  }
  return changes;
}

AgentChanges SendStops(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  if (!board.minion) return changes;
  for (const auto& [key, run] : board.runs) {
    const bool is_due = run.phase == RunPhase::kStopping &&
                        !run.stop_answered_at && !run.stop_in_flight &&
                        now.boot >= run.next_stop_at;
    if (!is_due) continue;
    RunRow row = run;
    row.stop_in_flight = true;
    changes.Add(Put<RunRow>{row});
    changes.Add(CallStop{*board.minion, key, board.fencing_token,
                         board.settings.call_timeout});
  }
  return changes;
}

AgentChanges StopStalledRuns(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const AgentSettings& settings = board.settings;
  // Progress is unknown while polls fail.
  if (board.look.failures > 0) return changes;
  for (const auto& [key, run] : board.runs) {
    if (run.phase != RunPhase::kRunning) continue;
    const BootTime allowed = std::max<BootTime>(
        settings.stall_min, std::chrono::duration_cast<BootTime>(
                                settings.stall_share * run.estimate));
    if (now.boot - run.progress_at < allowed) continue;
    changes.Add(Put<RunRow>{Stopping(run, RunEnd::kStalled, now)});
    Decision decision =
        RunDecision(key, Weight::kFailure, "run_stalled", "no progress");
    decision.figures.emplace_back("percent", run.percent);
    decision.figures.emplace_back("idle_ms",
                                  ToMilliseconds(now.boot - run.progress_at));
    changes.Add(std::move(decision));
  }
  return changes;
}

AgentChanges EndRun(const AgentBoard& board, const RunRow& run, RunEnd end,
                    const std::string& evidence, const Now& now,
                    MinionHealth* health) {
  AgentChanges changes;
  changes.Add(Erase<RunRow>{run.key});
  const auto duration =
      std::chrono::duration_cast<milliseconds>(now.boot - run.started_at);
  if (board.links.Contains(run.link)) {
    changes.Add(SendToEntry{run.link, RunEnded{run.key, end, duration}});
    MarkReportDue(board, run.link, &changes);
  }
  HealthNote note = NoteEnd(board, *health, run, end, now);
  *health = note.health;
  if (note.decision) changes.Add(*std::move(note.decision));
  const Weight weight =
      end == RunEnd::kDone ? Weight::kRoutine : Weight::kFailure;
  Decision decision = RunDecision(run.key, weight, "run_ended", evidence);
  decision.texts.emplace_back("end", ToString(end));
  decision.figures.emplace_back("duration_ms", duration.count());
  decision.figures.emplace_back("estimate_ms", run.estimate.count());
  changes.Add(std::move(decision));
  return changes;
}

AgentChanges LoseAllRuns(const AgentBoard& board, const std::string& evidence,
                         const Now& now) {
  AgentChanges changes;
  MinionHealth health = board.health;
  for (const auto& [key, run] : board.runs) {
    changes.Append(EndRun(board, run, RunEnd::kLost, evidence, now, &health));
  }
  return changes;
}

}  // namespace dottereltrack::pool
