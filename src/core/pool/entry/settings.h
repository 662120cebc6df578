#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/cell.h"
#include "core/pool/config_transfer.h"
#include "core/pool/minion_crash.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Parameters of the entry's controllers.
struct EntrySettings {
  // Random id of this process.
  std::uint64_t id = 0;
  // Where this entry listens for agents and other entries.
  Endpoint address;

  // Interval of the pings on an idle link; four may be lost before the link
  // counts as dead.
  milliseconds ping_interval{100};
  // A link that carries no message for this long counts as dead.
  milliseconds link_timeout{500};
  // A run has certainly ended this long after its link was lost: the agent
  // stops it within link_timeout plus 100 ms, and if the agent fails in the
  // meantime, the run's lease of 300 ms (2% longer on a slow clock) expires.
  milliseconds max_lost_run_time{910};
  // A job is refused if no minion accepts runs for this share of its
  // response-time goal.
  double refusal_goal_share = 0.2;
  // After a stop request, a job is accepted only if its longest task can take
  // this many times its estimate before `max_shutdown_time`. Estimates are off
  // by 40%, and slow minions take 1.7 times as long as others.
  double shutdown_estimate_factor = 3.0;
  // The process keeps running at least this long after a stop request, so that
  // the load balancer notices that it is not ready (two checks of 1 s).
  milliseconds min_shutdown_time{2'600};
  // The process exits at the latest this long after a stop request, before the
  // platform's grace period of 6 s expires.
  milliseconds max_shutdown_time{5'600};
  // Outcomes of ended jobs are kept this long for repeated submissions.
  milliseconds outcome_retention{10'000};
  // Ends of jobs are kept this long for copies of a submission that arrive
  // seconds later. A row takes about 150 bytes: 0.8 MB for the 93 jobs per
  // second of an entry, and at most 2.5 MB for `max_past_jobs`.
  milliseconds past_job_retention{60'000};
  std::size_t max_past_jobs = 16'384;
  // A cancel waits this long for the answers of other entries, longer than
  // `link_timeout`. The callers' bound for an acknowledgement is 6 s.
  milliseconds cancel_timeout{600};
  // A job fails when this many minions have certainly crashed with a run of one
  // of its tasks. A single crash may have another cause.
  int max_crashes_of_a_task = 2;
  // A job is given up, without an outcome, when one of its tasks has this many
  // crashes, certain or possible. The platform allows five.
  int max_possible_crashes_of_a_task = 4;
  // Number of crashes that are remembered; see kMaxCrashes.
  std::size_t max_crashes = kMaxCrashes;
  // Delay between two attempts to connect to an entry.
  milliseconds dial_retry_delay{50};
  // As in AgentSettings.
  std::size_t max_entry_links = 16;
  // For this long after its start, an entry does not refuse jobs because
  // minions are missing or busy: their agents need up to a report interval
  // of 1.5 s to reconnect.
  milliseconds warm_up_time{2'000};
  // Estimated memory of accepted jobs in bytes, above which further ones are
  // refused; those of one source may take half of it. An eighth of a machine of
  // 120 MB, for 4,000 waiting jobs.
  std::size_t max_accepted_bytes = 15U << 20;
  ConfigTransferSettings config_transfer{};

  std::string data_centre;
  // How many times as long a task takes away from its data or from the rest of
  // its step.
  double remote_factor = 1;
  // Processor share of this machine in cores; 0 if it is not known.
  double cpu_cores = 0;
  // Processor time of one load report: a wake-up, its system calls and a turn.
  // Share of the processor that load reports may take, from which the interval
  // follows that agents are asked for.
  microseconds report_cost{30};
  double report_processor_share = 0.1;
  // Agents are asked for no interval that is shorter than their own.
  milliseconds min_requested_report_interval{100};
  // Interval of the pings of an entry that asks for fewer reports. A pause of
  // up to 375 ms, above which the entry aborts its links itself, breaks no
  // link.
  milliseconds saving_ping_interval{125};
  // An overloaded entry asks for this interval. As in AgentSettings.
  milliseconds max_requested_report_interval{300};
  // Share of time in which the event loop is busy, from which on this entry
  // counts as overloaded, and below which it does not any more. At 0.6 an event
  // waits 1.5 times its own processing time on average, at 0.85 six times.
  double overload_enter_share = 0.6;
  double overload_leave_share = 0.4;
  // An overloaded entry forwards a share of its jobs that grows linearly from 0
  // at `overload_leave_share` to 1 here. A step from none to all would make the
  // load oscillate with the period of its average.
  double full_forward_share = 0.85;
  // Mean lateness of the tick timer that counts as a fully busy loop. At 60 ms,
  // the usual target latency of a queue is used up.
  milliseconds full_tick_lateness{100};
  // Offers are full up to the first busy share and shrink linearly to 0 at the
  // second, which is below `overload_enter_share`, so that no entry is
  // overloaded by the jobs that it has offered to take.
  double full_offer_share = 0.3;
  double offer_limit_share = 0.55;
  // Jobs that an idle entry offers to all overloaded peers together, for each
  // core, or if its processor share is not known. A core runs about 2,500 jobs
  // a second, so these take 100 ms, two of the shortest offer intervals.
  double offered_jobs_per_core = 250;
  double default_offered_jobs = 60;
  milliseconds min_offer_interval{50};
  milliseconds max_offer_interval{1'000};
  // The owner of a forwarded job gives it up if the link to the first entry is
  // silent for this long. It is shorter than link_timeout, so that the runs
  // have ended before the client submits the job again, even if the owner is
  // cut off at that moment.
  milliseconds forwarded_job_timeout{350};
  // All runs of a forwarded job have ended this long after the first entry has
  // withdrawn it or has lost the link to its owner.
  milliseconds max_forwarded_run_time{1'300};
  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace dottereltrack::pool
