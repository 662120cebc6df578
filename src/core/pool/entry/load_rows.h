#pragma once

#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Load of this entry's event loop, and what it does about it.
struct OverloadState {
  // Share of time in which the loop is busy, or the lateness of its timer as a
  // share of `full_tick_lateness`, whichever is higher.
  double pressure = 0;
  bool is_overloaded = false;
  // Some peer has been told that this entry is overloaded.
  bool has_announced = false;
  // Mean number of tasks of the jobs that were considered for forwarding.
  double mean_tasks = 0;
  // Jobs of at least the mean number of tasks, and smaller ones, that are due
  // to be forwarded; the fractions are carried over from one job to the next.
  double due_large_jobs = 0;
  double due_small_jobs = 0;
  friend bool operator==(const OverloadState&, const OverloadState&) = default;
};

// What a peer offers over a link that this entry has dialed.
struct OfferRow {
  LinkId link;
  std::string data_centre;
  // Of the last EntryLoad.
  std::uint32_t offered_jobs = 0;
  std::uint64_t handled_jobs = 0;
  // Jobs forwarded over the link.
  std::uint64_t sent_jobs = 0;
  bool has_announced_overload = false;

  // Number of jobs that the peer still takes.
  std::uint64_t Remaining() const {
    const std::uint64_t limit = handled_jobs + offered_jobs;
    return limit > sent_jobs ? limit - sent_jobs : 0;
  }
  const LinkId& Key() const { return link; }
  friend bool operator==(const OfferRow&, const OfferRow&) = default;
};

// An entry that forwards jobs to this one over a link that it has dialed.
struct DemandRow {
  LinkId link;
  bool is_overloaded = false;
  // Jobs received over the link.
  std::uint64_t received_jobs = 0;
  // The last offer, and `received_jobs` when it was sent.
  std::uint32_t offered_jobs = 0;
  std::uint64_t offered_after_jobs = 0;
  BootTime offered_at{0};

  const LinkId& Key() const { return link; }
  friend bool operator==(const DemandRow&, const DemandRow&) = default;
};

// A call of a peer that waits for the end of a job that it has forwarded.
struct ForwardedCall {
  CallId call;
  LinkId link;
  std::uint64_t job = 0;

  const CallId& Key() const { return call; }
  friend bool operator==(const ForwardedCall&, const ForwardedCall&) = default;
};

// Ids of forwarded calls; those of clients count from 1.
inline constexpr std::uint64_t kFirstForwardedCall = std::uint64_t{1} << 63;

inline bool IsForwardedCall(const CallId& call) {
  return call.value >= kFirstForwardedCall;
}

}  // namespace dottereltrack::pool
