#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace dottereltrack::pool {

// A queue of jobs. It receives the calls whose host and path match it.
struct QueueConfig {
  std::string name;
  std::string host;
  // Start of the path. The queue with the longest matching prefix gets the
  // call.
  std::string path_prefix;
  // Minions of this service run the tasks.
  std::string service;
  // 0 is the highest. Not used; see docs/design/shortage.md.
  int priority = 0;
  // Number of failed runs of one task after which the job fails.
  int max_attempts = 1;
  // Response-time goal of a job: `stretch` times the estimate of its longest
  // task plus `target_latency`.
  double stretch = 1.0;
  milliseconds target_latency{0};
  friend bool operator==(const QueueConfig&, const QueueConfig&) = default;
};

struct PoolConfig {
  // Increases with each change, not always by 1. 0 if there is none yet.
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  friend bool operator==(const PoolConfig&, const PoolConfig&) = default;
};

// Returns the queue that a call belongs to, or null if there is none.
const QueueConfig* FindQueue(const PoolConfig& config, const std::string& host,
                             const std::string& path);

}  // namespace dottereltrack::pool
