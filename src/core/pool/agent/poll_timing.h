#pragma once

#include "core/pool/agent/board.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Decides when the minion is polled again although a poll is in flight, and how
// long a poll waits. Answers of a minion may get lost one by one; the ends of
// all its runs would then be seen only after the poll's timeout, and a lost
// start would hold its task for two timeouts.

// Why the poll in flight is replaced by one that does not wait.
enum class PollReplacement {
  kNone,
  // Its answer is overdue.
  kOverdue,
  // The answer to a start is overdue, and the poll was sent too early to show
  // whether the minion has the run.
  kStartInDoubt,
  // The minion has accepted the stop of a run that it may never have begun, and
  // the poll was sent before that.
  kStopToConfirm,
};

PollReplacement FindPollReplacement(const AgentBoard& board, const Now& now);

// How long the next poll may wait for a run to end. Short for a while after an
// answer was lost, since the next one may get lost as well.
milliseconds PollWait(const AgentBoard& board, const Now& now);

// Whether a poll that was sent at this time shows a run whose start is
// unanswered.
bool ShowsUnansweredStart(const AgentBoard& board, const RunRow& run,
                          BootTime poll_sent_at);

}  // namespace dottereltrack::pool
