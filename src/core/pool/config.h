#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/shared.h"
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

// The queues of a configuration and an index for lookups. Immutable and cheap
// to copy, because all copies share one object.
class QueueTable {
 public:
  QueueTable() = default;
  // Implicit, so that a list of queues can be passed as a table.
  QueueTable(  // NOLINT(google-explicit-constructor)
      std::vector<QueueConfig> queues);
  QueueTable(std::initializer_list<QueueConfig> queues);

  // Returns the queue of this host with the longest prefix of the path, and
  // among equal ones the first; null if there is none. Valid as long as a copy
  // of the table exists.
  const QueueConfig* Find(std::string_view host, std::string_view path) const;

  std::size_t size() const { return data_->queues.size(); }
  bool empty() const { return data_->queues.empty(); }
  // The queues in the order in which they were given.
  auto begin() const { return data_->queues.begin(); }
  auto end() const { return data_->queues.end(); }
  const QueueConfig& operator[](std::size_t n) const {
    return data_->queues[n];
  }
  friend bool operator==(const QueueTable&, const QueueTable&) = default;

 private:
  struct Data {
    std::vector<QueueConfig> queues;
    // Positions in `queues`, ordered by host and prefix, without those whose
    // host and prefix an earlier queue has.
    std::vector<std::uint32_t> by_host_and_prefix;
    friend bool operator==(const Data&, const Data&) = default;
  };

  Shared<Data> data_;
};

struct PoolConfig {
  // Increases with each change, not always by 1. 0 if there is none yet.
  std::uint64_t version = 0;
  QueueTable queues;
  friend bool operator==(const PoolConfig&, const PoolConfig&) = default;
};

// Returns the queue that a call belongs to, or null if there is none. Valid as
// long as a copy of the configuration exists.
const QueueConfig* FindQueue(const PoolConfig& config, std::string_view host,
                             std::string_view path);

}  // namespace dottereltrack::pool
