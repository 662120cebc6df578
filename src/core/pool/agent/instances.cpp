#include "core/pool/agent/instances.h"

#include <utility>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/crashes.h"
#include "core/pool/agent/fencing.h"
#include "core/pool/agent/runs.h"

namespace dottereltrack::pool {
namespace {

// Differences between the wall clocks of two machines are below this.
constexpr milliseconds kMaxClockDifference{86'400'000};

// An instance that has never answered a poll and failed this many may not
// exist, so that reports of instances with an earlier start count as well.
constexpr int kMaxFailuresOfUnprovenInstance = 2;

bool IsSameInstance(const MinionReport& a, const MinionReport& b) {
  return a.id == b.id && a.started_ms == b.started_ms;
}

bool IsProven(const AgentBoard& board) {
  return board.poll.has_inventory ||
         board.poll.failures < kMaxFailuresOfUnprovenInstance;
}

// Whether a run may still be at work on the known instance.
bool MayHaveLiveRuns(const AgentBoard& board, const Now& now) {
  return !board.runs.empty() && now.boot < LatestLeaseEnd(board);
}

// Records a crash if the known instance has not announced its end.
AgentChanges RecordReplacement(const AgentBoard& board, const Now& now) {
  if (!board.minion || board.minion->draining) return {};
  return RecordCrash(board, CrashEvidence::kOtherInstance, now);
}

AgentChanges AdoptNewInstance(const AgentBoard& board,
                              const MinionReport& report, const Now& now) {
  AgentChanges changes = RecordReplacement(board, now);
  changes.Append(EndAllRunsAsLost(
      board, "another instance of the minion has started", now));
  PollState poll;
  // Responses to polls of the previous instance are recognised by their
  // sequence number and ignored.
  poll.sequence = board.poll.sequence + 1;
  poll.lease_ends_at = board.poll.lease_ends_at;
  changes.Add(SetMinion{report});
  changes.Add(SetSuccessor{});
  changes.Add(SetClock{{report.clock_ms, now.boot}});
  changes.Add(SetPollState{poll});
  changes.Add(SetHealth{});
  changes.Add(MinionDecision(report, "minion_known"));
  return changes;
}

// Keeps a report of another instance until the runs on the known one have
// ended.
AgentChanges AwaitEndOfRuns(const AgentBoard& board,
                            const MinionReport& report) {
  AgentChanges changes;
  const bool is_new =
      !board.successor || !IsSameInstance(*board.successor, report);
  changes.Add(SetSuccessor{report});
  if (!is_new) return changes;
  Decision decision = MinionDecision(report, "minion_successor");
  decision.numbers.emplace_back("runs",
                                static_cast<std::int64_t>(board.runs.size()));
  changes.Add(std::move(decision));
  return changes;
}

// Processes a further report of the known instance.
AgentChanges UpdateMinion(const AgentBoard& board, const MinionReport& report,
                          const Now& now) {
  AgentChanges changes;
  const MinionReport& known = *board.minion;
  if (report.sequence <= known.sequence) return changes;
  // A report that was delayed tells less than an earlier reading.
  if (report.clock_ms > EstimateMinionClockMs(board, now)) {
    changes.Add(SetClock{{report.clock_ms, now.boot}});
  }
  const bool has_left = board.minion_has_left && report.draining;
  changes.Add(SetMinion{report, has_left});
  if (report.draining != known.draining || report.capacity != known.capacity) {
    changes.Add(MinionDecision(report, "minion_state_changed"));
  }
  return changes;
}

}  // namespace

bool IsExpectedToEnd(const AgentBoard& board) {
  return board.minion_has_left || board.successor.has_value();
}

bool IsStartTimeImplausible(std::uint64_t started_ms, const Now& now) {
  const auto latest = (now.wall + kMaxClockDifference).count();
  return started_ms > static_cast<std::uint64_t>(latest);
}

Decision MinionDecision(const MinionReport& minion, std::string event) {
  return {Severity::kStateChange,
          std::move(event),
          0,
          {{"minion", minion.id}, {"service", minion.service}},
          {{"cpu_millis", minion.capacity.cpu_millis},
           {"draining", minion.draining ? 1 : 0},
           {"started_ms", static_cast<std::int64_t>(minion.started_ms)}}};
}

// The new process accepts calls that were sent to the previous one, so it may
// hold some of the runs; the next poll shows which. That poll also carries a
// higher fencing token, so that the minion rejects starts that arrive even
// later: their leases were computed for the previous clock and may seem valid
// on the new one. Until then, such a start or poll may give the new process the
// longest lease that a minion grants.
AgentChanges AdoptRestartedInstance(const AgentBoard& board,
                                    const MinionReport& report,
                                    const Now& now) {
  AgentChanges changes = RecordReplacement(board, now);
  for (const auto& [key, run] : board.runs) {
    RunRow row = run;
    if (run.phase == RunPhase::kRunning) {
      row.phase = RunPhase::kUnconfirmed;
      row.phase_started_at = now.boot;
    }
    // The new process does not know of stops that the former one has accepted.
    row.stop_answered_at.reset();
    row.stop_in_flight = false;
    row.next_stop_at = now.boot;
    if (row != run) changes.Add(Put<RunRow>{row});
  }
  PollState poll = board.poll;
  ++poll.sequence;
  poll.in_flight = false;
  poll.last_end_number = 0;
  poll.next_at = now.boot;
  poll.has_inventory = false;
  poll.has_restarted = true;
  poll.inherited_lease_ends_at = now.boot + board.settings.max_granted_lease;
  changes.Add(SetPollState{poll});
  changes.Add(SetMinion{report});
  changes.Add(SetClock{{report.clock_ms, now.boot}});
  changes.Add(SetHealth{});
  changes.Add(SetFencingToken{NextFencingToken(board, now)});
  changes.Add(MinionDecision(report, "minion_restarted"));
  return changes;
}

AgentChanges HandleMinionReport(const AgentBoard& board,
                                const MinionReport& report, const Now& now) {
  if (IsStartTimeImplausible(report.started_ms, now)) {
    AgentChanges changes;
    changes.Add(
        Decision{Severity::kFailure,
                 "report_ignored",
                 0,
                 {{"minion", report.id},
                  {"reason", "the minion's start lies more than a day ahead"}},
                 {{"started_ms", static_cast<std::int64_t>(report.started_ms)},
                  {"wall_ms", now.wall.count()}}});
    return changes;
  }
  if (!board.minion) return AdoptNewInstance(board, report, now);
  const MinionReport& known = *board.minion;
  if (IsSameInstance(known, report)) return UpdateMinion(board, report, now);
  // A delayed report of an instance that has been replaced.
  if (report.started_ms < known.started_ms && IsProven(board)) return {};
  if (report.id == known.id) return AdoptRestartedInstance(board, report, now);
  if (MayHaveLiveRuns(board, now)) return AwaitEndOfRuns(board, report);
  return AdoptNewInstance(board, report, now);
}

AgentChanges HandleMinionLeft(const AgentBoard& board, const MinionLeft& e,
                              const Now&) {
  AgentChanges changes;
  if (!board.minion || board.minion->id != e.id) return changes;
  MinionReport left = *board.minion;
  // The report is kept as draining, so that a delayed report does not make the
  // instance available again.
  left.draining = true;
  changes.Add(SetMinion{left, true});
  changes.Add(MinionDecision(left, "minion_left"));
  return changes;
}

AgentChanges AdoptSuccessor(const AgentBoard& board, const Now& now) {
  if (!board.successor || MayHaveLiveRuns(board, now)) return {};
  return AdoptNewInstance(board, *board.successor, now);
}

AgentChanges RejectSuccessor(const AgentBoard& board) {
  AgentChanges changes;
  if (!board.successor) return changes;
  changes.Add(SetSuccessor{});
  changes.Add(Decision{Severity::kFailure,
                       "report_ignored",
                       0,
                       {{"minion", board.successor->id},
                        {"reason", "the known minion still answers polls"}},
                       {}});
  return changes;
}

}  // namespace dottereltrack::pool
