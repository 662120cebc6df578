#pragma once

#include <cstdint>
#include <vector>

#include "core/cell.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Settings of an entry's decisions.
struct EntrySettings {
  // Random id of this run of the process.
  std::uint64_t id = 0;
  // Where this entry listens for agents and other entries.
  Endpoint address;

  // An idle link carries a ping this often; four may be lost before the link
  // counts as dead.
  milliseconds ping_interval{100};
  // A link without any message for this long is dead.
  milliseconds link_timeout{500};
  // A run whose link is gone is certainly dead after this time: the agent stops
  // it within link_timeout and 100 ms, and if the agent dies meanwhile, the
  // minion's lease of 300 ms (2% longer on a slow clock) ends it.
  milliseconds lost_run_bound{910};
  // A job that no minion can take is refused after this share of its goal.
  double refusal_share = 0.2;
  // After a stop request a job is accepted if its longest task can take this
  // many times its estimate before `stop_max`. Estimates are off by 40%, and
  // slow minions take 1.7 times as long as others.
  double stop_slack = 3.0;
  // The process stays at least this long after a stop request, so that the load
  // balancer has seen it unready (two checks of 1 s).
  milliseconds stop_min{2'600};
  // The process ends at the latest this long after a stop request, before the
  // platform's grace period of 6 s ends.
  milliseconds stop_max{5'600};
  // Outcomes of ended jobs are kept this long for repeated submissions.
  milliseconds outcome_retention{10'000};
  // Wait between two attempts to connect to an entry.
  milliseconds dial_retry{50};
  // For this long after its start an entry does not refuse jobs for want of
  // minions, whose agents need up to a report interval of 1.5 s to return.
  milliseconds warm_up{2'000};
  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace dottereltrack::pool
