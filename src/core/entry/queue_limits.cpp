#include "core/entry/queue_limits.h"

#include <algorithm>
#include <string>

#include "core/entry/agent_messages.h"
#include "core/entry/minion_health.h"
#include "core/entry/placement.h"

namespace dottereltrack {
namespace {

// Share of the deadline that the expected response may take; the rest covers
// errors of the estimate, for a job that misses its deadline wastes its work.
constexpr double kDeadlineShare = 0.7;
// A team may fill this share of the queue, so that others find room.
constexpr double kTeamShare = 0.75;
constexpr milliseconds kMinRetryAfter{1'000};

double Seconds(BootTime time) {
  return std::chrono::duration<double>(time).count();
}

BootTime FromSeconds(double time) {
  return BootTime{static_cast<std::int64_t>(time * 1e6)};
}

// Slots that the selector admits.
double EligibleSlots(const EntryBoard& board, const Selector& selector) {
  if (selector.allowed.empty()) {
    return static_cast<double>(board.fenced_slots);
  }
  double slots = 0;
  for (const auto& [id, agent] : board.agents) {
    if (!IsUsable(board, agent)) continue;
    if (!Matches(selector, board.stored_config.config, agent.minion)) continue;
    slots += SlotLimit(agent.minion);
  }
  return slots;
}

TeamConfig ConfigOf(const EntryBoard& board, const std::string& team) {
  const auto it = board.stored_config.config.teams.find(team);
  return it == board.stored_config.config.teams.end() ? TeamConfig{}
                                                      : it->second;
}

// The team's weight over that of all teams with queued tasks.
double ShareOf(const EntryBoard& board, const std::string& team) {
  const double own = std::max<std::uint32_t>(ConfigOf(board, team).weight, 1);
  double all = own;
  for (const auto& [name, queue] : board.queue_by_team) {
    if (name == team) continue;
    all += std::max<std::uint32_t>(ConfigOf(board, name).weight, 1);
  }
  return own / all;
}

// Expected time of the job alone: its longest task, or all of its tasks on the
// slots that it can get.
double OwnTime(const EntryBoard& board, const SubmitRequest& request,
               double slots, const Now& now) {
  BootTime longest{0};
  BootTime sum{0};
  for (const TaskSpec& task : request.tasks) {
    longest = std::max<BootTime>(longest, task.declared_time);
    sum += task.declared_time;
  }
  const double ratio = KindRatioOf(board, request.kind, now);
  return ratio * std::max(Seconds(longest), Seconds(sum) / slots);
}

Refusal Overloaded(std::string message, BootTime retry_after) {
  const auto wait = std::chrono::duration_cast<milliseconds>(retry_after);
  return Refusal{RefusalKind::kOverloaded, std::move(message),
                 ProveNeverAccepted(), std::max(wait, kMinRetryAfter)};
}

std::optional<Refusal> CheckLength(const EntryBoard& board,
                                   const SubmitRequest& request,
                                   BootTime wait) {
  const std::size_t limit = board.settings.max_queued_tasks;
  const std::size_t all = board.queued_tasks + request.tasks.size();
  if (all > limit) {
    return Overloaded("the queue holds " + std::to_string(board.queued_tasks) +
                          " of " + std::to_string(limit) +
                          " tasks; submit again later with a new key",
                      wait / 2);
  }
  const auto team = board.queue_by_team.find(request.team);
  const auto team_limit =
      static_cast<std::size_t>(static_cast<double>(limit) * kTeamShare);
  if (team == board.queue_by_team.end()) return std::nullopt;
  if (team->second.tasks + request.tasks.size() <= team_limit) {
    return std::nullopt;
  }
  return Overloaded("team '" + request.team + "' has " +
                        std::to_string(team->second.tasks) + " of at most " +
                        std::to_string(team_limit) +
                        " tasks queued; submit again later with a new key",
                    wait / 2);
}

double SlotsOf(const EntryBoard& board, const SubmitRequest& request) {
  const double slots = EligibleSlots(board, request.selector);
  const double limit = ConfigOf(board, request.team).max_in_progress;
  return limit > 0 ? std::min(slots, limit) : slots;
}

}  // namespace

BootTime ExpectedWait(const EntryBoard& board, const SubmitRequest& request,
                      const Now& now) {
  const auto own = board.queue_by_team.find(request.team);
  if (own == board.queue_by_team.end()) return BootTime{0};
  const double slots = EligibleSlots(board, request.selector);
  if (slots == 0) return BootTime{0};
  milliseconds all{0};
  for (const auto& [name, queue] : board.queue_by_team) all += queue.declared;
  const double share = slots * ShareOf(board, request.team);
  const double own_wait =
      Seconds(own->second.declared) / std::min(share, SlotsOf(board, request));
  const double limit = ConfigOf(board, request.team).max_in_progress;
  // Slots that other teams leave free shorten the wait, but for a quota.
  const double wait =
      limit > 0 ? own_wait : std::min(own_wait, Seconds(all) / slots);
  return FromSeconds(wait * KindRatioOf(board, "", now));
}

std::optional<Refusal> CheckQueue(const EntryBoard& board,
                                  const SubmitRequest& request,
                                  const Now& now) {
  const BootTime wait = ExpectedWait(board, request, now);
  if (auto refusal = CheckLength(board, request, wait)) return refusal;
  const double slots = SlotsOf(board, request);
  if (slots == 0) return std::nullopt;
  const BootTime own = FromSeconds(OwnTime(board, request, slots, now));
  const BootTime allowed =
      FromSeconds(kDeadlineShare * Seconds(BootTime(request.deadline)));
  if (wait + own <= allowed) return std::nullopt;
  const auto ms = [](BootTime time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  if (own > allowed) {
    Refusal refusal = Overloaded(
        "the job alone is expected to take " + ms(own) +
            " ms, too long for its deadline; raise 'deadline_ms' or split it",
        BootTime{0});
    refusal.kind = RefusalKind::kDeadlineTooShort;
    refusal.retry_after.reset();
    return refusal;
  }
  return Overloaded("the job would wait " + ms(wait) +
                        " ms and miss its deadline; submit again later with a "
                        "new key",
                    wait + own - allowed);
}

}  // namespace dottereltrack
