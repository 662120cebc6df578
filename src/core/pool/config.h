#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace dottereltrack::pool {

// A queue of jobs. Calls whose host and path match it belong to it.
struct QueueConfig {
  std::string name;
  std::string host;
  // Beginning of the path; the longest match decides.
  std::string path_prefix;
  // Minions of this service run the tasks.
  std::string service;
  // 0 goes first. Not used yet: tasks go by their latest start.
  int priority = 0;
  // Failed runs of one task after which the job has failed.
  int max_attempts = 1;
  // A job should end within `stretch` times its longest task and
  // `target_latency` more.
  double stretch = 1.0;
  milliseconds target_latency{0};
  friend bool operator==(const QueueConfig&, const QueueConfig&) = default;
};

struct PoolConfig {
  // Rises with each change, in uneven steps. 0: none yet.
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  friend bool operator==(const PoolConfig&, const PoolConfig&) = default;
};

// The queue that a call belongs to, or null.
const QueueConfig* FindQueue(const PoolConfig& config, const std::string& host,
                             const std::string& path);

}  // namespace dottereltrack::pool
