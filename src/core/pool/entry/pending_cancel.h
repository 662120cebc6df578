#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack::pool {

// A client's cancel of a job that this entry does not own, while other entries
// are asked.
struct PendingCancel {
  // Chosen by this entry.
  std::uint64_t request = 0;
  std::uint64_t job = 0;
  CallId call;
  // Links to the entries that have not answered.
  std::vector<LinkId> unanswered;
  // Some entry could not be asked, and it may own the job.
  bool is_incomplete = false;
  BootTime ends_at{0};

  std::uint64_t Key() const { return request; }
  friend bool operator==(const PendingCancel&, const PendingCancel&) = default;
};

}  // namespace dottereltrack::pool
