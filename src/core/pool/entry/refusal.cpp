#include "core/pool/entry/refusal.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/evacuation.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/unstarted_tasks.h"
#include "core/pool/entry/waiting_tasks.h"
#include "core/pool/mix_bits.h"

namespace dottereltrack::pool {
namespace {

// A task may take this share of its estimate, as estimates are off by 40%, and
// the same holds for the work that is placed before it.
constexpr double kMinEstimateShare = 0.7;
// A burst lasts for seconds, so that an earlier retry would only add to it.
constexpr milliseconds kMinRetryDelay{1'000};
// The header is in whole seconds, so that a shorter spread would have no
// effect.
constexpr milliseconds kMinRetrySpread{2'000};
// Longer than any client timeout of the users' deployments.
constexpr milliseconds kMaxRetryDelay{10'000};

double FindLowestSlowness(const EntryBoard& board, const std::string& service) {
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [link, agent] : board.agents) {
    if (!IsUsable(board, agent) || agent.hello->service != service) continue;
    lowest = std::min(lowest, std::exp(agent.load.log_slowness));
  }
  return std::isfinite(lowest) ? lowest : 1;
}

// Work placed so far in the order of the waiting tasks, and the speed at which
// it is done, for one service.
struct ServiceProgress {
  double work = 0;
  double rate = 0;
  double slowness = 1;

  // Time until a task is placed that has this much more work before it.
  milliseconds DelayAfter(double further_work) const {
    if (rate == 0) return milliseconds{0};
    return milliseconds{std::llround((work + further_work) / rate)};
  }
};

}  // namespace

bool IsHopeless(const JobOutlook& outlook) {
  const auto run_time = outlook.slowness * outlook.estimate;
  return kMinEstimateShare * (outlook.delay + run_time) > outlook.time_left;
}

milliseconds DelayOfRetry(milliseconds drain_time, std::uint64_t job) {
  const milliseconds base =
      std::clamp(drain_time, kMinRetryDelay, kMaxRetryDelay);
  const auto spread =
      static_cast<std::uint64_t>(std::max(base, kMinRetrySpread).count());
  return base + milliseconds{MixBits(job + kMixIncrement) % (spread + 1)};
}

milliseconds DelayOfRetry(const EntryBoard& board, const std::string& service,
                          std::uint64_t job, const Now& now) {
  return DelayOfRetry(EstimateDrainTime(board, service, now), job);
}

EntryChanges RefuseHopelessJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (!HasWaitingTasks(board) ||
      now.boot < board.started_at + board.settings.warm_up_time) {
    return changes;
  }
  std::map<std::string, ServiceProgress> services;
  std::map<std::uint64_t, const JobRow*> hopeless;
  for (const WaitingTasks& it : CollectWaitingTasks(board, now)) {
    const auto [found, is_new] = services.try_emplace(it.job->service);
    ServiceProgress& service = found->second;
    if (is_new) {
      service.rate = EstimateDrainRate(board, found->first, now);
      service.slowness = FindLowestSlowness(board, found->first);
    }
    if (hopeless.contains(it.job->id)) continue;
    const double work =
        it.task ? WorkOf(*it.task) : WorkOf(*it.unstarted) / it.Count();
    // A job that has started may get the resources of its own runs. Others end
    // with the last of their tasks.
    const milliseconds delay =
        it.job->may_have_started ? milliseconds{0}
                                 : service.DelayAfter((it.Count() - 1) * work);
    const JobOutlook outlook{delay, it.Estimate(), service.slowness,
                             std::chrono::duration_cast<milliseconds>(
                                 it.job->deadline_at - now.boot)};
    if (it.urgency.is_late && IsHopeless(outlook)) {
      hopeless.emplace(it.job->id, it.job);
    } else {
      service.work += it.Count() * work;
    }
  }
  std::map<std::string, milliseconds> drain_times;
  for (const auto& [id, job] : hopeless) {
    const auto [drain_time, is_new] = drain_times.try_emplace(job->service);
    if (is_new) {
      drain_time->second = EstimateDrainTime(board, job->service, now);
    }
    changes.Append(AbandonJob(board, *job,
                              RefusalOf(*job, ReplyKind::kOverloaded),
                              "it cannot end before its deadline", now,
                              DelayOfRetry(drain_time->second, id)));
  }
  return changes;
}

}  // namespace dottereltrack::pool
