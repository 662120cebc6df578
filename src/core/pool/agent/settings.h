#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/cell.h"
#include "core/pool/config_transfer.h"
#include "core/pool/minion_crash.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Parameters of the agent's controllers.
struct AgentSettings {
  // Random id of this process.
  std::uint64_t id = 0;

  // As in EntrySettings; both sides of a link use the same values.
  milliseconds ping_interval{100};
  milliseconds link_timeout{500};
  milliseconds dial_retry_delay{50};
  // An entry or agent links to this many entries at most; the figure lies above
  // the number of entries of a pool of 90 workers, so that smaller pools are a
  // full mesh.
  std::size_t max_entry_links = 16;
  // A surplus link is closed when it has had no runs for this long after the
  // entry was told to send no more starts.
  milliseconds link_retirement_delay{1'000};
  // A run ends this long after the agent last renewed its lease. Together with
  // link_timeout, a run whose entry and agent have both failed ends within
  // 0.9 s, less than the 1.3 s after which a client submits a job again.
  milliseconds lease{300};
  // A lease has expired after this time, also if the minion's clock is 2% slow.
  milliseconds max_lease_duration{310};
  // A minion shortens longer leases to 1 s, which take this long if its clock
  // is 2% slow.
  milliseconds max_granted_lease{1'021};
  // The minion is polled if the last reading of its clock is older than this.
  // The drift since the reading, up to 2%, shortens the leases. It is above the
  // 1.5 s between two reports, which bring readings as well.
  milliseconds max_clock_reading_age{2'000};
  // A poll of the minion waits up to this long for a run to end. The wait is
  // short because the response may get lost, and the end is then only seen one
  // wait later.
  milliseconds poll_wait{50};
  // The answer to a poll counts as overdue this long after its wait; the minion
  // is then polled again at once. Answers normally arrive within a millisecond.
  milliseconds poll_overdue_margin{10};
  // For this time after an answer was lost, polls wait only briefly.
  milliseconds lossy_period{3'000};
  milliseconds lossy_poll_wait{15};
  // A run that a poll does not list is stopped if the poll was sent this long
  // after the run's start, which is not answered yet. A minion answers within a
  // millisecond; a start that arrives after the stop is refused.
  milliseconds start_doubt_delay{25};
  // A poll has failed if there is no response this long after its wait.
  milliseconds poll_timeout_margin{40};
  // Interval between polls of a minion that does not respond.
  milliseconds failed_poll_interval{100};
  // Responses to starts and stops normally arrive within a millisecond; one
  // that has not arrived within this time counts as lost.
  milliseconds call_timeout{100};
  // A stop is repeated after this time; repeating it does no harm.
  milliseconds stop_timeout{40};
  // Upper bound of the time to stop a run; a minion needs at most 50 ms.
  milliseconds max_run_stop_time{60};
  // If the minion has not accepted a stop this long after an entry's request,
  // no lease is renewed until it has. A client may submit its job to another
  // entry 1.3 s after it lost its call. By then the runs must have lapsed, even
  // if the entry has been paused for 374 ms and the agent for 310 ms, which
  // neither notices: 374 + 310 + 280 + 310 ms.
  milliseconds max_requested_stop_time{280};
  // A stop that has passed through two entries may have been delayed by pauses
  // of both, 374 ms each, so that the agent waits for `max_run_stop_time` only.
  // If it has sent no poll for this long it was paused itself, and it does not
  // wait: 374 + 374 + 150 + 60 + 310 ms, or 374 + 374 + 310 ms.
  milliseconds max_poll_gap{150};
  // Minimum interval between two load reports to an entry, multiplied by the
  // number of linked entries, so that an agent sends at most 200 reports per
  // second in total.
  milliseconds min_report_interval{5};
  // Changes of the free cores below this share of the capacity are reported
  // only every `max_report_interval`.
  double min_reported_share = 0.1;
  milliseconds max_report_interval{100};
  // Upper bound of the report interval that an entry may ask for. Its view of
  // the minion is that old, and each start that the minion has no room for
  // costs a round trip.
  milliseconds max_requested_report_interval{300};
  // Interval of the pings to an entry that has asked for reports at longer
  // intervals. One may be lost before the link counts as dead.
  milliseconds max_ping_interval{200};
  // A run has stalled if it makes no progress for this long, or for
  // `stall_estimate_share` of its estimate if that is longer.
  milliseconds min_stall_time{300};
  double stall_estimate_share = 0.5;
  // A minion whose share of failed runs (exponential average) exceeds this
  // is suspended for a while, then accepts a single run as a trial.
  double suspension_failure_share = 0.45;
  milliseconds first_suspension_duration{500};
  milliseconds max_suspension_duration{4'000};
  // As in EntrySettings.
  std::size_t max_crashes = kMaxCrashes;
  // Runs on the minion at the same time. Tasks without needs fit in any number,
  // but a minion lists at most 500 runs.
  std::size_t max_runs = 500;
  // The process exits at the latest this long after a stop request, before the
  // platform's grace period of 6 s expires.
  milliseconds max_shutdown_time{5'500};
  ConfigTransferSettings config_transfer{};
  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

}  // namespace dottereltrack::pool
