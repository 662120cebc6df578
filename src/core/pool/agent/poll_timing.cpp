#include "core/pool/agent/poll_timing.h"

#include <algorithm>

namespace dottereltrack::pool {
namespace {

bool IsStartInDoubt(const AgentBoard& board, const RunRow& run,
                    const Now& now) {
  return run.phase == RunPhase::kStarting &&
         ShowsUnansweredStart(board, run, now.boot) &&
         !ShowsUnansweredStart(board, run, board.poll.sent_at);
}

bool IsStopToConfirm(const AgentBoard& board, const RunRow& run) {
  return run.phase == RunPhase::kStopping && !run.has_begun &&
         run.stop_answered_at && *run.stop_answered_at > board.poll.sent_at;
}

}  // namespace

PollReplacement FindPollReplacement(const AgentBoard& board, const Now& now) {
  const PollState& poll = board.poll;
  if (!poll.in_flight || board.runs.empty()) return PollReplacement::kNone;
  const BootTime answer_due_at =
      poll.sent_at + poll.wait + board.settings.poll_overdue_margin;
  // A poll that does not wait ends with its timeout.
  if (poll.wait.count() > 0 && now.boot >= answer_due_at) {
    return PollReplacement::kOverdue;
  }
  for (const auto& [key, run] : board.runs) {
    if (IsStartInDoubt(board, run, now)) return PollReplacement::kStartInDoubt;
    if (IsStopToConfirm(board, run)) return PollReplacement::kStopToConfirm;
  }
  return PollReplacement::kNone;
}

milliseconds PollWait(const AgentBoard& board, const Now& now) {
  const PollState& poll = board.poll;
  const AgentSettings& settings = board.settings;
  const bool is_lossy = poll.answer_lost_at &&
                        now.boot - *poll.answer_lost_at < settings.lossy_period;
  return is_lossy ? settings.lossy_poll_wait : settings.poll_wait;
}

bool ShowsUnansweredStart(const AgentBoard& board, const RunRow& run,
                          BootTime poll_sent_at) {
  return poll_sent_at >= run.started_at + board.settings.start_doubt_delay;
}

}  // namespace dottereltrack::pool
