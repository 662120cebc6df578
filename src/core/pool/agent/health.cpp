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

// The speed counts as changed if this many runs differ from the average by this
// factor in their mean. Estimates of single runs are off by 40%.
constexpr int kMinRunsAtWork = 3;
constexpr double kMinSpeedChange = 2;
// Progress is given in whole percent, so that early values are inaccurate.
constexpr int kMinPercent = 5;
// A minion that misses a start keeps doing so for seconds. One that is healthy
// again is avoided for this long only by tasks with little time left.
constexpr milliseconds kMissedStartRetention{4'000};
// Steps in which a changed speed is reported, as a logarithm, so that not every
// poll leads to a load report.
constexpr double kLogSlownessStep = 0.25;

// Logarithm of the expected duration of a run at work over its estimate;
// nullopt if its progress does not show it yet.
std::optional<double> ProjectedLogSlowness(const RunRow& run) {
  if (run.phase != RunPhase::kRunning || run.percent < kMinPercent) {
    return std::nullopt;
  }
  using Microseconds = std::chrono::duration<double, std::micro>;
  const double worked_us =
      Microseconds{run.progress_at - run.started_at}.count();
  const double estimate_us = Microseconds{run.estimate}.count();
  if (worked_us <= 0 || estimate_us <= 0) return std::nullopt;
  return std::log(worked_us * 100 / run.percent / estimate_us);
}

void Suspend(const AgentBoard& board, const Now& now, MinionHealth* health) {
  const AgentSettings& settings = board.settings;
  const milliseconds duration = std::max(health->next_suspension_duration,
                                         settings.first_suspension_duration);
  health->suspended_until = now.boot + duration;
  health->next_suspension_duration =
      std::min(2 * duration, settings.max_suspension_duration);
  health->on_trial = true;
}

Decision SuspensionDecision(const AgentBoard& board, const MinionHealth& health,
                            const std::string& reason, const Now& now) {
  return {Severity::kStateChange,
          "minion_suspended",
          0,
          {{"minion", board.minion ? board.minion->id : std::string()},
           {"reason", reason}},
          {{"failed_percent", std::lround(100 * health.failure_share)},
           {"for_ms", std::chrono::duration_cast<milliseconds>(
                          health.suspended_until - now.boot)
                          .count()}}};
}

void UpdateSlowness(const RunRow& run, const Now& now, MinionHealth* health) {
  using Microseconds = std::chrono::duration<double, std::micro>;
  const double duration_us = Microseconds{now.boot - run.started_at}.count();
  const double estimate_us = Microseconds{run.estimate}.count();
  if (duration_us <= 0 || estimate_us <= 0) return;
  ++health->successful_runs;
  const double weight = std::max(kSpeedWeight, 1.0 / health->successful_runs);
  health->log_slowness +=
      weight * (std::log(duration_us / estimate_us) - health->log_slowness);
}

}  // namespace

double CurrentLogSlowness(const AgentBoard& board) {
  const double average = board.health.log_slowness;
  double sum = 0;
  int count = 0;
  for (const auto& [key, run] : board.runs) {
    const auto slowness = ProjectedLogSlowness(run);
    if (!slowness) continue;
    sum += *slowness;
    ++count;
  }
  if (count < kMinRunsAtWork) return average;
  const double at_work = sum / count;
  if (std::abs(at_work - average) < std::log(kMinSpeedChange)) return average;
  return std::round(at_work / kLogSlownessStep) * kLogSlownessStep;
}

HealthUpdate UpdateHealth(const AgentBoard& board, const MinionHealth& before,
                          const RunRow& run, RunEnd end, const Now& now) {
  HealthUpdate update{before, std::nullopt};
  MinionHealth& health = update.health;
  const bool succeeded = end == RunEnd::kDone;
  const bool failed = end == RunEnd::kFailed || end == RunEnd::kStalled;
  if (!succeeded && !failed) return update;
  health.failure_share +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - health.failure_share);
  if (succeeded) {
    UpdateSlowness(run, now, &health);
    if (health.on_trial) {
      health.on_trial = false;
      health.failure_share = 0;
      health.next_suspension_duration = milliseconds{0};
    }
    return update;
  }
  // Runs that were in progress when the suspension began do not extend it.
  if (now.boot < health.suspended_until) return update;
  if (health.on_trial ||
      health.failure_share > board.settings.suspension_failure_share) {
    Suspend(board, now, &health);
    update.decision =
        SuspensionDecision(board, health, "runs have failed", now);
  }
  return update;
}

bool HasMissedStart(const MinionHealth& health, const Now& now) {
  return health.missed_start_at &&
         now.boot < *health.missed_start_at + kMissedStartRetention;
}

MinionHealth WithMissedStart(MinionHealth health, const Now& now) {
  health.missed_start_at = now.boot;
  return health;
}

}  // namespace dottereltrack::pool
