#include "core/entry/queue_limits.h"

#include <algorithm>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/placement.h"
#include "core/entry/run_time_estimates.h"

namespace dottereltrack {
namespace {

// Maximum share of the deadline that the expected response time may take. The
// rest covers estimation errors, because the work of a job that misses its
// deadline is wasted.
constexpr double kMaxDeadlineShare = 0.7;
// Maximum share of the queue that one team may fill, so that other teams have
// room.
constexpr double kMaxTeamQueueShare = 0.75;
constexpr milliseconds kMinRetryAfter{1'000};
// The rows of a job and of a task, with their entries in the indexes.
constexpr std::size_t kJobBytes = 2U << 10;
constexpr std::size_t kTaskBytes = 512;
constexpr std::size_t kStringBytes = sizeof(std::string);
// Limit of open jobs and kept answers together, as a multiple of that of open
// jobs.
constexpr std::size_t kTotalFactor = 2;

double ToSeconds(BootTime time) {
  return std::chrono::duration<double>(time).count();
}

BootTime FromSeconds(double time) {
  return BootTime{static_cast<std::int64_t>(time * 1e6)};
}

// Returns the number of slots on agents that match the selector.
double EligibleSlots(const EntryBoard& board, const Selector& selector) {
  if (selector.allowed.empty()) {
    return static_cast<double>(board.fenced_slots);
  }
  double slots = 0;
  for (const auto& [id, agent] : board.agents) {
    if (!CanTakeWork(board, agent)) continue;
    if (!Matches(selector, board.stored_config.config, agent.minion)) continue;
    slots += SlotLimit(agent.minion);
  }
  return slots;
}

TeamConfig TeamConfigOf(const EntryBoard& board, const std::string& team) {
  const auto it = board.stored_config.config.teams.find(team);
  return it == board.stored_config.config.teams.end() ? TeamConfig{}
                                                      : it->second;
}

// Returns the team's share of the total weight of all teams with queued tasks,
// the team itself included.
double WeightShareOf(const EntryBoard& board, const std::string& team) {
  const double own_weight =
      std::max<std::uint32_t>(TeamConfigOf(board, team).weight, 1);
  double total_weight = own_weight;
  for (const auto& [name, queue] : board.queue_by_team) {
    if (name == team) continue;
    total_weight +=
        std::max<std::uint32_t>(TeamConfigOf(board, name).weight, 1);
  }
  return own_weight / total_weight;
}

// Returns the expected time in seconds of the job without queueing: the time of
// its longest task, or of all its tasks spread over the available slots,
// whichever is longer.
double ExpectedJobSeconds(const EntryBoard& board, const SubmitRequest& request,
                          double slots, const Now& now) {
  BootTime longest{0};
  BootTime sum{0};
  for (const TaskSpec& task : request.tasks) {
    longest = std::max<BootTime>(longest, task.declared_time);
    sum += task.declared_time;
  }
  const double ratio = EstimatedKindTimeRatio(board, request.kind, now);
  return ratio * std::max(ToSeconds(longest), ToSeconds(sum) / slots);
}

Refusal MakeOverloadedRefusal(std::string message, BootTime retry_after) {
  const auto wait = std::chrono::duration_cast<milliseconds>(retry_after);
  return Refusal{RefusalKind::kOverloaded, std::move(message),
                 ProveNeverAccepted(), std::max(wait, kMinRetryAfter)};
}

// Returns the part of a limit that one team may use.
std::size_t TeamPartOf(std::size_t limit) {
  return static_cast<std::size_t>(static_cast<double>(limit) *
                                  kMaxTeamQueueShare);
}

std::optional<Refusal> CheckQueueLength(const EntryBoard& board,
                                        const SubmitRequest& request,
                                        BootTime wait) {
  const std::size_t limit = board.settings.max_queued_tasks;
  const std::size_t total = board.queued_tasks + request.tasks.size();
  if (total > limit) {
    return MakeOverloadedRefusal(
        "the queue holds " + std::to_string(board.queued_tasks) + " of " +
            std::to_string(limit) + " tasks; submit again later with a new key",
        wait / 2);
  }
  const auto team = board.queue_by_team.find(request.team);
  const std::size_t team_limit = TeamPartOf(limit);
  if (team == board.queue_by_team.end()) return std::nullopt;
  if (team->second.task_count + request.tasks.size() <= team_limit) {
    return std::nullopt;
  }
  return MakeOverloadedRefusal(
      "team '" + request.team + "' has " +
          std::to_string(team->second.task_count) + " of at most " +
          std::to_string(team_limit) +
          " tasks queued; submit again later with a new key",
      wait / 2);
}

// Time until the oldest answer is forgotten.
BootTime TimeToNextExpiry(const EntryBoard& board, const Now& now) {
  if (board.ended_jobs_by_finish_time.empty()) return BootTime{0};
  const BootTime finished_at = board.ended_jobs_by_finish_time.begin()->first;
  return finished_at + board.settings.retention - now.boot;
}

// A limit of memory that jobs use, and what a refused caller is told.
struct MemoryLimit {
  std::string name;
  std::size_t limit = 0;
  std::size_t used = 0;
  std::size_t used_by_team = 0;
  BootTime retry_after{0};
};

std::optional<Refusal> CheckMemoryLimit(const MemoryLimit& it,
                                        const SubmitRequest& request) {
  const std::size_t bytes = MemoryOf(request);
  if (it.used + bytes > it.limit) {
    return MakeOverloadedRefusal(
        it.name + " take " + std::to_string(it.used) + " of " +
            std::to_string(it.limit) +
            " bytes; submit again later with a new key",
        it.retry_after);
  }
  const std::size_t team_limit = TeamPartOf(it.limit);
  if (it.used_by_team == 0 || it.used_by_team + bytes <= team_limit) {
    return std::nullopt;
  }
  return MakeOverloadedRefusal(it.name + " of team '" + request.team +
                                   "' take " + std::to_string(it.used_by_team) +
                                   " of at most " + std::to_string(team_limit) +
                                   " bytes; submit again later with a new key",
                               it.retry_after);
}

std::optional<Refusal> CheckMemory(const EntryBoard& board,
                                   const SubmitRequest& request, BootTime wait,
                                   const Now& now) {
  const MemoryUse& open = board.open_jobs_memory;
  const MemoryUse& results = board.results_memory;
  const std::size_t limit = board.settings.max_accepted_bytes;
  const MemoryLimit open_limit{"the open jobs", limit, open.bytes,
                               open.Of(request.team), wait / 2};
  if (auto refusal = CheckMemoryLimit(open_limit, request)) return refusal;
  const MemoryLimit total_limit{
      "the open jobs and the kept answers", kTotalFactor * limit,
      open.bytes + results.bytes,
      open.Of(request.team) + results.Of(request.team),
      TimeToNextExpiry(board, now)};
  return CheckMemoryLimit(total_limit, request);
}

double SlotsAvailableTo(const EntryBoard& board, const SubmitRequest& request) {
  const double slots = EligibleSlots(board, request.selector);
  const double limit = TeamConfigOf(board, request.team).max_in_progress;
  return limit > 0 ? std::min(slots, limit) : slots;
}

}  // namespace

std::size_t MemoryOf(const SubmitRequest& request) {
  std::size_t bytes = kJobBytes;
  for (const TaskSpec& task : request.tasks) {
    bytes += kTaskBytes + task.payload->size();
  }
  for (const auto& [label, values] : request.selector.allowed) {
    bytes += label.size();
    for (const std::string& value : values) {
      bytes += kStringBytes + value.size();
    }
  }
  return bytes;
}

std::optional<Refusal> CheckUnservedCalls(const EntryBoard& board,
                                          const SubmitRequest& request) {
  const std::size_t limit = board.settings.max_accepted_bytes;
  if (board.unserved_bytes + MemoryOf(request) <= limit) return std::nullopt;
  return MakeOverloadedRefusal("the calls that wait for the dispatcher take " +
                                   std::to_string(board.unserved_bytes) +
                                   " of " + std::to_string(limit) +
                                   " bytes; submit again later, or elsewhere",
                               kMinRetryAfter);
}

BootTime ExpectedWait(const EntryBoard& board, const SubmitRequest& request,
                      const Now& now) {
  const auto own_queue = board.queue_by_team.find(request.team);
  if (own_queue == board.queue_by_team.end()) return BootTime{0};
  const double slots = EligibleSlots(board, request.selector);
  if (slots == 0) return BootTime{0};
  milliseconds total{0};
  for (const auto& [name, queue] : board.queue_by_team) total += queue.declared;
  const double slot_share = slots * WeightShareOf(board, request.team);
  const double own_wait =
      ToSeconds(own_queue->second.declared) /
      std::min(slot_share, SlotsAvailableTo(board, request));
  const double limit = TeamConfigOf(board, request.team).max_in_progress;
  // Slots left free by other teams shorten the wait, unless the team has a
  // quota.
  const double wait =
      limit > 0 ? own_wait : std::min(own_wait, ToSeconds(total) / slots);
  return FromSeconds(wait * EstimatedKindTimeRatio(board, "", now));
}

std::optional<Refusal> CheckQueueAndDeadline(const EntryBoard& board,
                                             const SubmitRequest& request,
                                             const Now& now) {
  const BootTime wait = ExpectedWait(board, request, now);
  if (auto refusal = CheckQueueLength(board, request, wait)) return refusal;
  if (auto refusal = CheckMemory(board, request, wait, now)) return refusal;
  const double slots = SlotsAvailableTo(board, request);
  if (slots == 0) return std::nullopt;
  const BootTime job_time =
      FromSeconds(ExpectedJobSeconds(board, request, slots, now));
  const BootTime allowed_time =
      FromSeconds(kMaxDeadlineShare * ToSeconds(BootTime(request.deadline)));
  if (wait + job_time <= allowed_time) return std::nullopt;
  const auto ms = [](BootTime time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  if (job_time > allowed_time) {
    Refusal refusal = MakeOverloadedRefusal(
        "the job alone is expected to take " + ms(job_time) +
            " ms, too long for its deadline; raise 'deadline_ms' or split it",
        BootTime{0});
    refusal.kind = RefusalKind::kDeadlineTooShort;
    refusal.retry_after.reset();
    return refusal;
  }
  return MakeOverloadedRefusal(
      "the job would wait " + ms(wait) +
          " ms and miss its deadline; submit again later with a "
          "new key",
      wait + job_time - allowed_time);
}

}  // namespace dottereltrack
