#pragma once

#include <string>

#include "core/pool/entry/changes.h"

namespace dottereltrack::pool {

// What is known of a job when it is decided whether it is refused.
struct JobOutlook {
  // Time until its last waiting task is started, if no other job arrives.
  milliseconds delay{0};
  // Estimate of the longest task that waits.
  milliseconds estimate{0};
  // Ratio of run time to estimate on the fastest minion.
  double slowness = 1;
  // Time until the client stops waiting.
  milliseconds time_left{0};
  friend bool operator==(const JobOutlook&, const JobOutlook&) = default;
};

// Whether the job cannot end before its client stops waiting, also if delay and
// run time are shorter than estimated, as estimates are off by 40%.
bool IsHopeless(const JobOutlook& outlook);

// Delay after which a refused caller should try again: the time until the
// waiting work has been done, at least a second, and up to as much again, or 2
// s, depending on the job's id, so that refused callers do not return together.
milliseconds DelayOfRetry(milliseconds drain_time, std::uint64_t job);

// The same for a job of the service that is refused because minions are busy.
milliseconds DelayOfRetry(const EntryBoard& board, const std::string& service,
                          std::uint64_t job, const Now& now);

// Refuses waiting jobs that cannot end before their clients stop waiting, as
// soon as that is known, and gives up those that have started.
EntryChanges RefuseHopelessJobs(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
