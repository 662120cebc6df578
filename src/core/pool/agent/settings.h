#pragma once

#include <cstdint>
#include <vector>

#include "core/cell.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Settings of an agent's decisions.
struct AgentSettings {
  // Random id of this run of the process.
  std::uint64_t id = 0;

  // As in EntrySettings; both sides of a link use the same values.
  milliseconds ping_interval{100};
  milliseconds link_timeout{500};
  milliseconds dial_retry{50};
  // Runs die this long after the agent's last renewal. With link_timeout it
  // bounds the life of a run whose entry and agent are both gone to 0.9 s, less
  // than the 1.3 s after which a client submits a job again.
  milliseconds lease{300};
  // Clocks of minions may be 2% slow; a lease has then lapsed after this time.
  milliseconds lease_bound{310};
  // A look at the minion waits this long for an end. Short, because the answer
  // may get lost and the next end is then seen one wait later.
  milliseconds look_wait{50};
  // A look without an answer this long after its wait has failed.
  milliseconds look_slack{40};
  // Interval of looks at a minion that does not answer.
  milliseconds probe_interval{100};
  // Answers of starts and stops arrive within a millisecond; one that does not
  // come in this time is lost.
  milliseconds call_timeout{100};
  // The minion needs at most 50 ms to stop a run.
  milliseconds stop_bound{60};
  // Least time between two load reports to an entry, for each entry that is
  // linked, so that an agent sends at most 200 a second in all.
  milliseconds report_interval{5};
  // Changes of the free cores below this share of the capacity are reported
  // only every report_max.
  double report_share = 0.1;
  milliseconds report_max{100};
  // A run without progress for this long, or for `stall_share` of its estimate
  // if that is longer, has stalled.
  milliseconds stall_min{300};
  double stall_share = 0.5;
  // A minion whose share of failed runs (exponential average) exceeds this
  // takes no runs for a while, then one as a trial.
  double suspend_above = 0.45;
  milliseconds suspend_first{500};
  milliseconds suspend_max{4'000};
  // The process ends at the latest this long after a stop request, before the
  // platform's grace period of 6 s ends.
  milliseconds stop_max{5'500};
  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

}  // namespace dottereltrack::pool
