#pragma once

#include <memory>

#include "api/reply.h"
#include "core/entry/board.h"

namespace dottereltrack {

// Returns the counter's name in metrics and state dumps.
const char* NameOf(Counter counter);

// Latencies that an entry measures.
enum class LatencyKind {
  // From the acceptance of a job to the start of one of its tasks.
  kStartDelay,
  // One iteration of the event loop: running the controllers and applying
  // their effects.
  kLoopIteration,
  // From a caller's request to its reply, including the tasks' run time.
  kCall,
};

// Latency histograms of an entry.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  void Observe(LatencyKind kind, microseconds latency);
  // Renders the board's counters and gauges and the histograms in the
  // Prometheus text format.
  ApiReply Render(const EntryBoard& board, const Now& now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dottereltrack
