#pragma once

#include <cstdint>

#include "core/cell.h"
#include "core/time.h"

namespace dottereltrack::pool {

// What is remembered of a job after its row is removed.
enum class JobEnd {
  kCompleted,
  kFailed,
  // A client has cancelled it, here or at another entry. It never runs.
  kCancelled,
  // It may have begun and was given up. It may run again, but must not be
  // refused as one that was not run.
  kGivenUp,
};

struct PastJob {
  std::uint64_t id = 0;
  JobEnd end = JobEnd::kCompleted;
  BootTime ended_at{0};

  std::uint64_t Key() const { return id; }
  friend bool operator==(const PastJob&, const PastJob&) = default;
};

}  // namespace dottereltrack::pool
