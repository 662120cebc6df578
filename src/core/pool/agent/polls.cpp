#include "core/pool/agent/polls.h"

#include <algorithm>
#include <map>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/crashes.h"
#include "core/pool/agent/fencing.h"
#include "core/pool/agent/health.h"
#include "core/pool/agent/instances.h"
#include "core/pool/agent/poll_timing.h"
#include "core/pool/agent/runs.h"

namespace dottereltrack::pool {
namespace {

// Stops runs on the minion that this agent does not know, such as those of an
// earlier agent process.
void StopUnknownRuns(const AgentBoard& board, const PollAnswered& e,
                     const Now& now, AgentChanges* changes) {
  for (const ListedRun& listed : e.running) {
    if (board.runs.Contains(listed.run)) continue;
    RunRow found;
    found.key = listed.run;
    found.phase = RunPhase::kStopping;
    found.has_begun = true;
    found.started_at = now.boot;
    found.next_stop_at = now.boot;
    // No lease is renewed until the minion has accepted the stop, since the
    // caller may already have submitted the job to another entry.
    found.must_stop_by = now.boot;
    changes->Add(Put<RunRow>{found});
    changes->Add(Decision{
        Severity::kFailure,
        "run_found",
        listed.run.task.job,
        {{"task", ToText(listed.run.task)}, {"minion", board.minion->id}},
        {{"run", static_cast<std::int64_t>(listed.run.number)}}});
  }
}

void UpdateListedRun(const RunRow& run, int percent, const Now& now,
                     AgentChanges* changes) {
  RunRow row = run;
  row.has_begun = true;
  if (run.phase == RunPhase::kStarting || run.phase == RunPhase::kUnconfirmed) {
    row.phase = RunPhase::kRunning;
    row.phase_started_at = now.boot;
    row.progress_at = now.boot;
  }
  if (percent > run.percent) {
    row.percent = percent;
    row.progress_at = now.boot;
  }
  if (row != run) changes->Add(Put<RunRow>{row});
}

// Whether the minion must reject the start of a run if it arrives after the
// poll in flight was sent, since the lease in the start has expired. A
// restarted minion's clock may be behind the one that the lease was computed
// for.
bool IsStartExpired(const AgentBoard& board, const RunRow& run) {
  const bool precedes_restart =
      run.started_at < board.poll.inherited_lease_ends_at;
  return !precedes_restart &&
         board.poll.sent_at >=
             run.started_at + board.settings.max_lease_duration;
}

// Returns the run, whose start was probably lost, as to be stopped: after the
// stop the minion refuses the start.
RunRow WithLostStart(RunRow run, const Now& now) {
  run.phase = RunPhase::kStopping;
  run.stop_reason = RunEnd::kLost;
  run.next_stop_at = now.boot;
  return run;
}

void RecordMissedStart(const AgentBoard& board, const Now& now,
                       MinionHealth* health, AgentChanges* changes) {
  if (!HasMissedStart(*health, now)) {
    changes->Add(MinionDecision(*board.minion, "minion_misses_starts"));
  }
  *health = WithMissedStart(*health, now);
}

// Handles a run that the minion does not list.
void UpdateUnlistedRun(const AgentBoard& board, const PollAnswered& e,
                       const RunRow& run, const Now& now, MinionHealth* health,
                       AgentChanges* changes) {
  const BootTime sent_at = board.poll.sent_at;
  switch (run.phase) {
    case RunPhase::kStarting: {
      if (!ShowsUnansweredStart(board, run, sent_at)) return;
      changes->Add(Put<RunRow>{WithLostStart(run, now)});
      RecordMissedStart(board, now, health, changes);
      Decision decision{Severity::kFailure,
                        "start_unanswered",
                        run.key.task.job,
                        {{"task", ToText(run.key.task)},
                         {"reason", "the minion does not list the run"}},
                        {}};
      changes->Add(std::move(decision));
      return;
    }
    case RunPhase::kUnconfirmed: {
      // The start call may still arrive; after a stop the minion refuses it.
      if (run.phase_started_at > sent_at) return;
      changes->Add(Put<RunRow>{WithLostStart(run, now)});
      RecordMissedStart(board, now, health, changes);
      return;
    }
    case RunPhase::kRunning:
      // The start may have been accepted after the minion created this list.
      if (run.phase_started_at >= sent_at) return;
      changes->Append(EndRun(board, run, RunEnd::kLost,
                             "the minion does not list it", now, health));
      return;
    case RunPhase::kStopping:
      if (e.refused_rows == 0 && IsStartExpired(board, run)) {
        changes->Append(EndRun(board, run, run.stop_reason,
                               "the minion does not list it", now, health));
        return;
      }
      if (!run.stop_answered_at) return;
      // A run that was listed before may take its time to stop. One that the
      // minion has never shown, and does not list after it has accepted the
      // stop, was never begun, and the stop forbids its start.
      if (sent_at < *run.stop_answered_at +
                        (run.has_begun ? board.settings.max_run_stop_time
                                       : milliseconds{0})) {
        return;
      }
      changes->Append(EndRun(board, run, run.stop_reason,
                             "the minion has accepted the stop", now, health));
      return;
  }
}

RunEnd ReportedEnd(const RunRow& run, RunEnd listed) {
  const bool is_stop = run.phase == RunPhase::kStopping &&
                       (listed == RunEnd::kStopped || listed == RunEnd::kLost);
  return is_stop ? run.stop_reason : listed;
}

void ReconcileRuns(const AgentBoard& board, const PollAnswered& e,
                   const Now& now, AgentChanges* changes) {
  std::map<RunKey, int> running;
  for (const ListedRun& it : e.running) running[it.run] = it.percent;
  std::map<RunKey, RunEnd> ended;
  for (const ListedEnd& it : e.ended) ended[it.run] = it.end;
  MinionHealth health = board.health;
  for (const auto& [key, run] : board.runs) {
    if (const auto end = ended.find(key); end != ended.end()) {
      changes->Append(EndRun(board, run, ReportedEnd(run, end->second),
                             "the minion lists its end", now, &health));
    } else if (const auto it = running.find(key); it != running.end()) {
      UpdateListedRun(run, it->second, now, changes);
    } else if (e.refused_rows == 0 || run.phase == RunPhase::kStopping) {
      // A row that cannot be read may stand for this run. If no later poll
      // lists the run, it ends as stalled.
      UpdateUnlistedRun(board, e, run, now, &health, changes);
    }
  }
  changes->Add(SetHealth{health});
}

AgentChanges RecordFailedPoll(const AgentBoard& board, const PollAnswered& e,
                              const Now& now) {
  AgentChanges changes;
  PollState poll = board.poll;
  poll.in_flight = false;
  ++poll.failures;
  // A connection attempt without an answer fails only after its timeout.
  poll.connection_refused =
      e.answer == CallAnswer::kNotConnected &&
      now.boot - poll.sent_at < board.settings.poll_timeout_margin;
  poll.next_at = poll.failures == 1
                     ? now.boot
                     : now.boot + board.settings.failed_poll_interval;
  // A poll that was never sent has not renewed the lease.
  if (e.answer == CallAnswer::kNotConnected) {
    poll.lease_ends_at = poll.previous_lease_ends_at;
  }
  changes.Add(SetPollState{poll});
  if (e.answer == CallAnswer::kFenced) {
    changes.Add(SetFencingToken{NextFencingToken(board, now)});
  }
  if (poll.failures == 2) {
    changes.Add(Decision{Severity::kStateChange,
                         "minion_unreachable",
                         0,
                         {{"minion", board.minion->id}, {"answer", e.detail}},
                         {}});
  }
  return changes;
}

// Whether the next poll renews the lease of the runs. It lapses on a minion
// that is expected to end and does not answer, and on one that does not stop a
// run whose task may be started elsewhere.
bool RenewsLease(const AgentBoard& board, const Now& now) {
  if (board.runs.empty() || HasOverdueStop(board, now)) return false;
  return board.poll.failures == 0 || !IsExpectedToEnd(board);
}

CrashEvidence FindCrashEvidence(const AgentBoard& board) {
  if (board.successor) return CrashEvidence::kOtherInstance;
  return board.poll.connection_refused ? CrashEvidence::kConnectionRefused
                                       : CrashEvidence::kNoAnswer;
}

}  // namespace

AgentChanges PollMinion(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const PollState& known = board.poll;
  const PollReplacement replacement = FindPollReplacement(board, now);
  const bool replaces = replacement != PollReplacement::kNone;
  if (!board.minion || (known.in_flight && !replaces)) return changes;
  const bool has_runs = !board.runs.empty();
  const bool has_left = board.minion->draining && !has_runs;
  const AgentSettings& settings = board.settings;
  const bool has_old_clock =
      now.boot - board.clock.read_at > settings.max_clock_reading_age;
  const bool has_reason =
      has_runs || !known.has_inventory || known.failures > 0 || has_old_clock;
  if (!has_reason || has_left || now.boot < known.next_at) return changes;
  PollState poll = known;
  poll.follows_overdue = replacement == PollReplacement::kOverdue;
  ++poll.sequence;
  poll.in_flight = true;
  poll.sent_at = now.boot;
  const bool skips_wait =
      poll.failures > 0 || !poll.has_inventory || has_old_clock || replaces;
  poll.wait = skips_wait ? milliseconds{0} : PollWait(board, now);
  CallPoll call{*board.minion, poll.sequence,       {}, poll.last_end_number,
                poll.wait,     board.fencing_token, {}};
  call.timeout = call.wait + settings.poll_timeout_margin;
  poll.previous_lease_ends_at = poll.lease_ends_at;
  if (RenewsLease(board, now)) {
    call.lease_ends_ms =
        EstimateMinionClockMs(board, now) + settings.lease.count();
    poll.lease_ends_at = now.boot + settings.max_lease_duration;
  }
  changes.Add(SetPollState{poll});
  changes.Add(std::move(call));
  return changes;
}

AgentChanges HandlePollAnswered(const AgentBoard& board, const PollAnswered& e,
                                const Now& now) {
  if (!board.poll.in_flight || e.sequence != board.poll.sequence) return {};
  if (e.answer != CallAnswer::kAccepted) return RecordFailedPoll(board, e, now);
  if (e.started_ms > board.minion->started_ms &&
      !IsStartTimeImplausible(e.started_ms, now)) {
    MinionReport restarted = *board.minion;
    restarted.started_ms = e.started_ms;
    restarted.sequence = 0;
    restarted.clock_ms = e.clock_ms;
    return AdoptRestartedInstance(board, restarted, now);
  }
  AgentChanges changes = RejectSuccessor(board);
  const bool was_unreachable = board.poll.failures > 1;
  ReconcileRuns(board, e, now, &changes);
  StopUnknownRuns(board, e, now, &changes);
  PollState poll = board.poll;
  poll.in_flight = false;
  poll.failures = 0;
  poll.next_at = now.boot;
  if (poll.follows_overdue) poll.answer_lost_at = now.boot;
  if (e.refused_rows > 0) {
    // The minion returns the rows again at once, since they are not
    // acknowledged.
    poll.next_at += board.settings.failed_poll_interval;
    changes.Add(Decision{
        Severity::kFailure,
        "run_rows_refused",
        0,
        {{"minion", board.minion->id}, {"problem", e.first_row_problem}},
        {{"rows", static_cast<std::int64_t>(e.refused_rows)}}});
  }
  poll.has_inventory = true;
  const bool has_found_runs =
      std::any_of(e.running.begin(), e.running.end(),
                  [&](const auto& it) { return !board.runs.Contains(it.run); });
  if (has_found_runs) {
    // They may hold a lease from the last call of an earlier agent process.
    poll.lease_ends_at = std::max<BootTime>(
        poll.lease_ends_at, now.boot + board.settings.max_lease_duration);
  }
  if (poll.has_restarted) {
    // The minion has seen the raised fencing token, so that it rejects calls
    // for its former process from now on.
    poll.has_restarted = false;
    poll.inherited_lease_ends_at = now.boot + board.settings.max_granted_lease;
  }
  for (const ListedEnd& it : e.ended) {
    poll.last_end_number = std::max(poll.last_end_number, it.number);
  }
  changes.Add(SetPollState{poll});
  changes.Add(SetClock{{e.clock_ms, now.boot}});
  if (was_unreachable) {
    changes.Add(MinionDecision(*board.minion, "minion_reachable"));
  }
  return changes;
}

AgentChanges PollAfterPause(const AgentBoard& board, milliseconds pause,
                            const Now& now) {
  AgentChanges changes;
  if (!board.minion) return changes;
  changes.Add(
      SetClock{{board.clock.minion_clock_ms, board.clock.read_at + pause}});
  PollState poll = board.poll;
  // The answer to a poll that was sent before the pause is ignored.
  ++poll.sequence;
  poll.in_flight = false;
  poll.has_inventory = false;
  poll.next_at = now.boot;
  // The minion's clock, by which leases end, may not have advanced.
  poll.lease_ends_at += pause;
  poll.previous_lease_ends_at += pause;
  poll.inherited_lease_ends_at += pause;
  changes.Add(SetPollState{poll});
  return changes;
}

AgentChanges EndRunsWithExpiredLease(const AgentBoard& board, const Now& now) {
  if (board.runs.empty() || board.poll.failures == 0 ||
      now.boot < LatestLeaseEnd(board)) {
    return {};
  }
  AgentChanges changes;
  // A single failure may be due to a pause of this process. A draining minion
  // ends on its own.
  const bool has_ended = board.poll.failures > 1 || board.successor;
  if (has_ended && !board.minion->draining) {
    changes = RecordCrash(board, FindCrashEvidence(board), now);
  }
  // An unanswered start carries its own lease, which has expired as well.
  changes.Append(EndAllRunsAsLost(
      board, "no answer of the minion until the lease lapsed", now));
  return changes;
}

}  // namespace dottereltrack::pool
