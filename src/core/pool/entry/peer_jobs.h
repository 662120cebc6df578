#pragma once

#include <optional>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/pool/entry/job_digests.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Jobs that this entry has accepted from its clients, for its peers.
struct AcceptedJobLog {
  JobDigests announced;
  std::vector<JobDigest> unannounced;
  BootTime announced_at{0};
  // The next announcement is not to wait for its time.
  bool is_due = false;
  friend bool operator==(const AcceptedJobLog&,
                         const AcceptedJobLog&) = default;
};

// Jobs that a peer has accepted, as announced over a link that this entry has
// dialed.
struct PeerJobs {
  LinkId link;
  Endpoint address;
  JobDigests jobs;
  // When the first announcement came.
  BootTime heard_at{0};
  // The peer's runs have ended `max_forwarded_run_time` after this; empty while
  // the link exists.
  std::optional<BootTime> lost_at;

  const LinkId& Key() const { return link; }
  friend bool operator==(const PeerJobs&, const PeerJobs&) = default;
};

}  // namespace dottereltrack::pool
