#include "core/pool/agent/health.h"

#include <algorithm>
#include <cmath>

namespace dottereltrack::pool {
namespace {

// Weights of the newest run in the exponential averages. Estimates are off by
// 40%, so the speed is averaged over about twenty runs; a failing minion must
// be detected after a few.
constexpr double kSpeedWeight = 0.05;
constexpr double kFailureWeight = 0.2;

void Suspend(const AgentBoard& board, const Now& now, MinionHealth* health) {
  const AgentSettings& settings = board.settings;
  const milliseconds length =
      std::max(health->next_suspension, settings.suspend_first);
  health->suspended_until = now.boot + length;
  health->next_suspension = std::min(2 * length, settings.suspend_max);
  health->on_trial = true;
}

void NoteDuration(const RunRow& run, const Now& now, MinionHealth* health) {
  using Microseconds = std::chrono::duration<double, std::micro>;
  const double duration_us = Microseconds{now.boot - run.started_at}.count();
  const double estimate_us = Microseconds{run.estimate}.count();
  if (duration_us <= 0 || estimate_us <= 0) return;
  ++health->done_runs;
  const double weight = std::max(kSpeedWeight, 1.0 / health->done_runs);
  health->log_slowness +=
      weight * (std::log(duration_us / estimate_us) - health->log_slowness);
}

}  // namespace

HealthNote NoteEnd(const AgentBoard& board, const MinionHealth& before,
                   const RunRow& run, RunEnd end, const Now& now) {
  HealthNote note{before, std::nullopt};
  MinionHealth& health = note.health;
  const bool succeeded = end == RunEnd::kDone;
  const bool failed = end == RunEnd::kFailed || end == RunEnd::kStalled;
  if (!succeeded && !failed) return note;
  health.failure_share +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - health.failure_share);
  if (succeeded) {
    NoteDuration(run, now, &health);
    if (health.on_trial) {
      health.on_trial = false;
      health.failure_share = 0;
      health.next_suspension = milliseconds{0};
    }
    return note;
  }
  // Runs that were in progress when the suspension began do not extend it.
  if (now.boot < health.suspended_until) return note;
  if (health.on_trial || health.failure_share > board.settings.suspend_above) {
    Suspend(board, now, &health);
    note.decision =
        Decision{Weight::kBelief,
                 "minion_suspended",
                 0,
                 {{"minion", board.minion ? board.minion->id : std::string()}},
                 {{"failed_percent", std::lround(100 * health.failure_share)},
                  {"for_ms", std::chrono::duration_cast<milliseconds>(
                                 health.suspended_until - now.boot)
                                 .count()}}};
  }
  return note;
}

}  // namespace dottereltrack::pool
