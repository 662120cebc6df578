#include "core/pool/agent/runs.h"

#include <algorithm>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/fencing.h"
#include "core/pool/agent/health.h"

namespace dottereltrack::pool {
namespace {

// Delay before a stop call that was not accepted is repeated.
constexpr milliseconds kStopRetryDelay{25};

void MarkReportDue(const AgentBoard& board, LinkId link,
                   AgentChanges* changes) {
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr || known->report_due) return;
  EntryLinkRow row = *known;
  row.report_due = true;
  changes->Add(Put<EntryLinkRow>{row});
}

Decision RunDecision(const RunKey& run, Severity severity, std::string event,
                     const std::string& reason) {
  return {severity,
          std::move(event),
          run.task.job,
          {{"task", ToText(run.task)}, {"reason", reason}},
          {{"run", static_cast<std::int64_t>(run.number)}}};
}

void RefuseStart(const AgentBoard& board, LinkId link, const RunKey& run,
                 StartRefusal refusal, const std::string& reason,
                 const std::string& detail, AgentChanges* changes) {
  changes->Add(SendToEntry{link, StartRefused{run, refusal}});
  const Severity severity = refusal == StartRefusal::kNoRoom
                                ? Severity::kRoutine
                                : Severity::kFailure;
  Decision decision = RunDecision(run, severity, "start_refused", reason);
  if (!detail.empty()) decision.texts.emplace_back("answer", detail);
  const Resources free = FreeResources(board);
  decision.numbers.emplace_back("free_cpu_millis", free.cpu_millis);
  decision.numbers.emplace_back("runs",
                                static_cast<std::int64_t>(board.runs.size()));
  changes->Add(std::move(decision));
}

bool HasRunOfTask(const AgentBoard& board, const TaskKey& task) {
  const auto it = board.runs.LowerBound({task, 0});
  return it != board.runs.end() && it->first.task == task;
}

bool HasRequiredLabel(const AgentBoard& board, const StartRun& start) {
  if (start.required_label.empty()) return true;
  const auto& labels = board.minion->labels;
  return std::find(labels.begin(), labels.end(), start.required_label) !=
         labels.end();
}

// Returns why the run cannot be started now, or null if it can.
const char* FindStartObstacle(const AgentBoard& board, const StartRun& start,
                              const Now& now) {
  if (IsEvacuated(board)) return "the data centre is evacuated";
  if (!IsAccepting(board, now)) return "the minion takes no runs";
  if (HasAllRuns(board)) return "too many runs";
  if (!Fits(start.needs, AvailableResources(board, now))) return "no room";
  if (!HasRequiredLabel(board, start)) {
    return "the minion lacks the required label";
  }
  if (HasRunOfTask(board, start.run.task)) {
    return "another run of the task has not ended";
  }
  if (start.is_suspect && HasSuspect(board)) {
    return "a run of another suspect task has not ended";
  }
  return nullptr;
}

// Returns the run as to be stopped; unchanged if it is already.
RunRow WithStopRequested(RunRow run, RunEnd reason, const Now& now) {
  if (run.phase == RunPhase::kStopping) return run;
  run.phase = RunPhase::kStopping;
  run.stop_reason = reason;
  run.next_stop_at = now.boot;
  return run;
}

// Returns the run with a limit for its stop, or an earlier one that it has.
RunRow WithStopLimit(RunRow run, BootTime limit) {
  run.must_stop_by = std::min(run.must_stop_by.value_or(limit), limit);
  return run;
}

// Removes a refused run, which releases its resources. Its entry may start the
// task on another minion. `detail` tells what the minion answered.
AgentChanges RemoveRefusedRun(const AgentBoard& board, const RunRow& run,
                              StartRefusal refusal, const std::string& reason,
                              const std::string& detail) {
  AgentChanges changes;
  changes.Add(Erase<RunRow>{run.key});
  RefuseStart(board, run.link, run.key, refusal, reason, detail, &changes);
  MarkReportDue(board, run.link, &changes);
  return changes;
}

// How long the minion may take to accept a stop before no lease is renewed.
milliseconds MaxStopTime(const AgentBoard& board, const StopRun& message,
                         const Now& now) {
  const AgentSettings& settings = board.settings;
  if (!message.withholds_lease) return settings.max_requested_stop_time;
  const bool was_paused = now.boot - board.poll.sent_at > settings.max_poll_gap;
  return was_paused ? milliseconds{0} : settings.max_run_stop_time;
}

}  // namespace

AgentChanges HandleStart(const AgentBoard& board, LinkId link,
                         const StartRun& message, const Now& now) {
  AgentChanges changes;
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr) return changes;
  const RunKey& run = message.run;
  const char* obstacle = FindStartObstacle(board, message, now);
  EntryLinkRow row = *known;
  row.handled_starts = message.sequence;
  row.report_due = row.report_due || obstacle != nullptr;
  changes.Add(Put<EntryLinkRow>{row});
  if (obstacle != nullptr) {
    RefuseStart(board, link, run,
                IsAccepting(board, now) ? StartRefusal::kNoRoom
                                        : StartRefusal::kNotAccepting,
                obstacle, {}, &changes);
    return changes;
  }
  RunRow started;
  started.key = run;
  started.link = link;
  started.entry = row.entry;
  started.needs = message.needs;
  started.estimate = message.estimate;
  started.is_suspect = message.is_suspect;
  started.started_at = now.boot;
  started.progress_at = now.boot;
  changes.Add(Put<RunRow>{started});
  PollState poll = board.poll;
  poll.lease_ends_at = now.boot + board.settings.max_lease_duration;
  poll.previous_lease_ends_at = poll.lease_ends_at;
  changes.Add(SetPollState{poll});
  changes.Add(CallStart{
      *board.minion, run, message.payload,
      EstimateMinionClockMs(board, now) + board.settings.lease.count(),
      board.fencing_token, board.settings.call_timeout});
  return changes;
}

AgentChanges HandleStop(const AgentBoard& board, const StopRun& message,
                        const Now& now) {
  AgentChanges changes;
  const RunRow* run = board.runs.Find(message.run);
  if (run == nullptr) return changes;
  const BootTime limit = now.boot + MaxStopTime(board, message, now);
  changes.Add(Put<RunRow>{
      WithStopLimit(WithStopRequested(*run, RunEnd::kStopped, now), limit)});
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
      running.has_begun = true;
      running.phase_started_at = now.boot;
      changes.Add(Put<RunRow>{running});
      return changes;
    }
    case CallAnswer::kNoRoom:
      return RemoveRefusedRun(board, *run, StartRefusal::kNoRoom,
                              "the minion has no room", e.detail);
    case CallAnswer::kOldNumber:
      return RemoveRefusedRun(board, *run, StartRefusal::kOldNumber,
                              "the minion knows a higher run number", e.detail);
    case CallAnswer::kInvalid:
      return RemoveRefusedRun(board, *run, StartRefusal::kRejected,
                              "the minion rejects the task", e.detail);
    case CallAnswer::kFenced: {
      changes = RemoveRefusedRun(board, *run, StartRefusal::kNotAccepting,
                                 "the minion has seen a higher fencing token",
                                 e.detail);
      changes.Add(SetFencingToken{NextFencingToken(board, now)});
      return changes;
    }
    case CallAnswer::kLate:
    case CallAnswer::kOtherInstance:
    case CallAnswer::kUnavailable:
    case CallAnswer::kNotConnected:
      return RemoveRefusedRun(board, *run, StartRefusal::kNotAccepting,
                              e.answer == CallAnswer::kLate
                                  ? "the start reached the minion too late"
                                  : "the minion is unavailable",
                              e.detail);
    case CallAnswer::kUnanswered: {
      RunRow unconfirmed = *run;
      unconfirmed.phase = RunPhase::kUnconfirmed;
      unconfirmed.phase_started_at = now.boot;
      changes.Add(Put<RunRow>{unconfirmed});
      Decision decision = RunDecision(e.run, Severity::kFailure,
                                      "start_unanswered", "the run may exist");
      decision.texts.emplace_back("answer", e.detail);
      changes.Add(std::move(decision));
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
  run.next_stop_at = now.boot + kStopRetryDelay;
  // An answer to a call with an earlier token may be that of the minion's
  // former process.
  const bool is_current =
      !e.fencing_token || *e.fencing_token == board.fencing_token;
  if (e.answer == CallAnswer::kAccepted && is_current) {
    run.stop_answered_at = now.boot;
  }
  changes.Add(Put<RunRow>{run});
  if (e.answer != CallAnswer::kAccepted) {
    Decision decision = RunDecision(e.run, Severity::kFailure, "stop_failed",
                                    "the minion has not accepted the stop");
    decision.texts.emplace_back("answer", e.detail);
    decision.numbers.emplace_back("lease_withheld",
                                  HasOverdueStop(board, now) ? 1 : 0);
    changes.Add(std::move(decision));
  }
  return changes;
}

AgentChanges StopRunsOfLink(const AgentBoard& board, LinkId link,
                            const Now& now) {
  AgentChanges changes;
  for (const auto& [key, run] : board.runs) {
    if (run.link != link) continue;
    changes.Add(Put<RunRow>{
        WithStopLimit(WithStopRequested(run, RunEnd::kStopped, now),
                      now.boot + board.settings.max_run_stop_time)});
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
                         board.settings.stop_timeout});
  }
  return changes;
}

AgentChanges StopStalledRuns(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const AgentSettings& settings = board.settings;
  // Progress is unknown while polls fail.
  if (board.poll.failures > 0) return changes;
  for (const auto& [key, run] : board.runs) {
    if (run.phase != RunPhase::kRunning) continue;
    const BootTime allowed =
        std::max<BootTime>(settings.min_stall_time,
                           std::chrono::duration_cast<BootTime>(
                               settings.stall_estimate_share * run.estimate));
    if (now.boot - run.progress_at < allowed) continue;
    changes.Add(Put<RunRow>{WithStopRequested(run, RunEnd::kStalled, now)});
    Decision decision =
        RunDecision(key, Severity::kFailure, "run_stalled", "no progress");
    decision.numbers.emplace_back("percent", run.percent);
    decision.numbers.emplace_back("idle_ms",
                                  ToMilliseconds(now.boot - run.progress_at));
    changes.Add(std::move(decision));
  }
  return changes;
}

AgentChanges EndRun(const AgentBoard& board, const RunRow& run, RunEnd end,
                    const std::string& reason, const Now& now,
                    MinionHealth* health) {
  AgentChanges changes;
  changes.Add(Erase<RunRow>{run.key});
  const auto duration =
      std::chrono::duration_cast<milliseconds>(now.boot - run.started_at);
  if (board.links.Contains(run.link)) {
    changes.Add(SendToEntry{run.link, RunEnded{run.key, end, duration}});
    // An entry that has asked for fewer reports counts the end itself.
    if (board.links.Find(run.link)->report_interval.count() == 0) {
      MarkReportDue(board, run.link, &changes);
    }
  }
  HealthUpdate update = UpdateHealth(board, *health, run, end, now);
  *health = update.health;
  if (update.decision) changes.Add(*std::move(update.decision));
  const Severity severity =
      end == RunEnd::kDone ? Severity::kRoutine : Severity::kFailure;
  Decision decision = RunDecision(run.key, severity, "run_ended", reason);
  decision.texts.emplace_back("end", ToString(end));
  if (board.minion) decision.texts.emplace_back("minion", board.minion->id);
  decision.numbers.emplace_back("duration_ms", duration.count());
  decision.numbers.emplace_back("estimate_ms", run.estimate.count());
  changes.Add(std::move(decision));
  return changes;
}

AgentChanges EndAllRunsAsLost(const AgentBoard& board,
                              const std::string& reason, const Now& now) {
  AgentChanges changes;
  MinionHealth health = board.health;
  for (const auto& [key, run] : board.runs) {
    changes.Append(EndRun(board, run, RunEnd::kLost, reason, now, &health));
  }
  return changes;
}

}  // namespace dottereltrack::pool
