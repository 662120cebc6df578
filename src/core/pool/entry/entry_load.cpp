#include "core/pool/entry/entry_load.h"

#include <algorithm>
#include <cmath>

namespace dottereltrack::pool {
namespace {

// Requested report intervals are multiples of this.
constexpr milliseconds kReportIntervalStep{50};

std::uint32_t ToPermille(double share) {
  return static_cast<std::uint32_t>(std::lround(1'000 * share));
}

EntryLoad MakeEntryLoad(const EntryBoard& board) {
  EntryLoad load;
  load.busy_permille = ToPermille(board.overload.pressure);
  load.is_overloaded = board.overload.is_overloaded;
  load.data_centre = board.settings.data_centre;
  return load;
}

std::size_t CountOverloadedPeers(const EntryBoard& board) {
  return std::count_if(board.demands.begin(), board.demands.end(),
                       [](const auto& it) { return it.second.is_overloaded; });
}

// Number of jobs that the last offer still allows.
std::uint32_t RemainingOffer(const DemandRow& demand) {
  const std::uint64_t used = demand.received_jobs - demand.offered_after_jobs;
  return demand.offered_jobs > used
             ? demand.offered_jobs - static_cast<std::uint32_t>(used)
             : 0;
}

bool IsOfferDue(const EntryBoard& board, const DemandRow& demand,
                std::uint32_t target, const Now& now) {
  const std::uint32_t remaining = RemainingOffer(demand);
  if (demand.offered_at == BootTime{0}) return target > 0;
  if (remaining == target) return false;
  const EntrySettings& settings = board.settings;
  const BootTime age = now.boot - demand.offered_at;
  if (age >= settings.max_offer_interval) return true;
  if (age < settings.min_offer_interval) return false;
  // A peer that has used up half of its offer may need more before the next
  // one; a peer that holds twice the present offer might use it.
  return target == 0 || remaining <= target / 2 || remaining >= 2 * target;
}

}  // namespace

double LoopPressure(const LoopLoadMeasured& load,
                    const EntrySettings& settings) {
  const double lateness =
      static_cast<double>(load.tick_lateness.count()) /
      static_cast<double>(settings.full_tick_lateness.count());
  return std::clamp(std::max(load.busy_share, lateness), 0.0, 1.0);
}

bool IsOverloadedAt(double pressure, bool was_overloaded,
                    const EntrySettings& settings) {
  return pressure >= (was_overloaded ? settings.overload_leave_share
                                     : settings.overload_enter_share);
}

double ForwardShare(double pressure, const EntrySettings& settings) {
  const double range =
      settings.full_forward_share - settings.overload_leave_share;
  return std::clamp((pressure - settings.overload_leave_share) / range, 0.0,
                    1.0);
}

std::uint32_t JobsToOffer(double pressure, std::size_t peers,
                          const EntrySettings& settings) {
  if (peers == 0) return 0;
  const double range = settings.offer_limit_share - settings.full_offer_share;
  const double idle_share =
      std::clamp((settings.offer_limit_share - pressure) / range, 0.0, 1.0);
  const double jobs = settings.cpu_cores > 0
                          ? settings.cpu_cores * settings.offered_jobs_per_core
                          : settings.default_offered_jobs;
  return static_cast<std::uint32_t>(
      std::floor(idle_share * jobs / static_cast<double>(peers)));
}

void SetOverloadShare(double share, EntrySettings* settings) {
  const double factor = share / settings->overload_enter_share;
  settings->overload_enter_share = share;
  settings->overload_leave_share *= factor;
  settings->full_forward_share *= factor;
}

milliseconds WantedReportInterval(std::size_t agents, bool is_overloaded,
                                  const EntrySettings& settings) {
  milliseconds interval{0};
  if (settings.cpu_cores > 0) {
    const double reports_per_second =
        settings.cpu_cores * settings.report_processor_share /
        std::chrono::duration<double>(settings.report_cost).count();
    const double interval_ms =
        1'000 * static_cast<double>(agents) / reports_per_second;
    // Rounded, so that an agent that comes or goes changes nothing.
    interval = kReportIntervalStep *
               std::lround(interval_ms / kReportIntervalStep.count());
  }
  if (interval < settings.min_requested_report_interval) {
    interval = milliseconds{0};
  }
  if (is_overloaded) return settings.max_requested_report_interval;
  return std::min(interval, settings.max_requested_report_interval);
}

EntryChanges AdjustReportIntervals(const EntryBoard& board) {
  EntryChanges changes;
  const milliseconds wanted = WantedReportInterval(
      board.agents.size(), board.overload.is_overloaded, board.settings);
  for (const auto& [link, agent] : board.agents) {
    if (agent.report_interval == wanted) continue;
    const bool is_small_change =
        agent.report_interval.count() > 0 && wanted.count() > 0 &&
        std::chrono::abs(agent.report_interval - wanted) <= kReportIntervalStep;
    if (is_small_change) continue;
    AgentRow row = agent;
    row.report_interval = wanted;
    changes.Add(Put<AgentRow>{std::move(row)});
    changes.Add(
        SendMessage{link, EntryHello{board.settings.id, {}, {}, wanted}});
  }
  return changes;
}

EntryChanges HandleLoopLoad(const EntryBoard& board,
                            const LoopLoadMeasured& e) {
  EntryChanges changes;
  OverloadState state = board.overload;
  state.pressure = LoopPressure(e, board.settings);
  state.is_overloaded =
      IsOverloadedAt(state.pressure, state.is_overloaded, board.settings);
  if (state.is_overloaded != board.overload.is_overloaded) {
    state.due_large_jobs = 0;
    state.due_small_jobs = 0;
    changes.Add(Decision{
        Severity::kStateChange,
        state.is_overloaded ? "overload_entered" : "overload_left",
        0,
        {},
        {{"busy_permille", ToPermille(e.busy_share)},
         {"tick_lateness_ms", e.tick_lateness.count()},
         {"jobs", static_cast<std::int64_t>(board.active_jobs.size())}}});
  }
  changes.Add(SetOverload{state});
  return changes;
}

EntryChanges HandleEntryLoad(const EntryBoard& board, LinkId link,
                             const EntryLoad& message) {
  EntryChanges changes;
  const LinkRow* row = board.links.Find(link);
  if (row == nullptr) return changes;
  if (row->dialed_address) {
    const OfferRow* known = board.offers.Find(link);
    OfferRow offer = known == nullptr ? OfferRow{} : *known;
    offer.link = link;
    offer.data_centre = message.data_centre;
    offer.offered_jobs = message.offered_jobs;
    offer.handled_jobs = message.handled_jobs;
    changes.Add(Put<OfferRow>{offer});
    return changes;
  }
  const DemandRow* known = board.demands.Find(link);
  DemandRow demand = known == nullptr ? DemandRow{} : *known;
  demand.link = link;
  demand.is_overloaded = message.is_overloaded;
  changes.Add(Put<DemandRow>{demand});
  return changes;
}

std::size_t CountForwardedJobs(const EntryBoard& board) {
  return std::count_if(board.active_jobs.begin(), board.active_jobs.end(),
                       [&](std::uint64_t id) {
                         return board.jobs.Find(id)->forwarded_to.has_value();
                       });
}

std::uint64_t CountOfferedJobs(const EntryBoard& board) {
  std::uint64_t count = 0;
  for (const auto& [link, offer] : board.offers) count += offer.Remaining();
  return count;
}

EntryChanges AnnounceOverload(const EntryBoard& board) {
  EntryChanges changes;
  const OverloadState& state = board.overload;
  // Entries that are not overloaded and have announced nothing stop here.
  if (!state.is_overloaded && !state.has_announced) return changes;
  for (const auto& [id, link] : board.links) {
    if (!link.dialed_address) continue;
    const OfferRow* known = board.offers.Find(id);
    OfferRow offer = known == nullptr ? OfferRow{} : *known;
    if (offer.has_announced_overload == state.is_overloaded) continue;
    offer.link = id;
    offer.has_announced_overload = state.is_overloaded;
    changes.Add(Put<OfferRow>{offer});
    changes.Add(SendMessage{id, MakeEntryLoad(board)});
  }
  if (state.has_announced != state.is_overloaded) {
    OverloadState announced = state;
    announced.has_announced = state.is_overloaded;
    changes.Add(SetOverload{announced});
  }
  return changes;
}

EntryChanges OfferCapacity(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (board.demands.empty()) return changes;
  const bool can_offer = !board.stopping && !board.overload.is_overloaded &&
                         board.config.version > 0;
  const std::uint32_t target =
      can_offer ? JobsToOffer(board.overload.pressure,
                              CountOverloadedPeers(board), board.settings)
                : 0;
  for (const auto& [id, demand] : board.demands) {
    if (!demand.is_overloaded || !IsOfferDue(board, demand, target, now)) {
      continue;
    }
    DemandRow row = demand;
    row.offered_jobs = target;
    row.offered_after_jobs = row.received_jobs;
    row.offered_at = now.boot;
    changes.Add(Put<DemandRow>{row});
    EntryLoad load = MakeEntryLoad(board);
    load.offered_jobs = target;
    load.handled_jobs = row.received_jobs;
    changes.Add(SendMessage{id, std::move(load)});
  }
  return changes;
}

}  // namespace dottereltrack::pool
