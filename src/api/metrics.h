#pragma once

#include <memory>

#include "api/reply.h"
#include "core/entry/board.h"

namespace dottereltrack {

// The name of a counter in metrics and dumps.
const char* NameOf(Counter counter);

// Times that the entry adds to a call.
enum class AddedTime {
  // From the acceptance of a job to the start of one of its tasks.
  kStartDelay,
  // One turn of the loop: decisions and their effects.
  kTurn,
  // From a call of a caller to its reply, the tasks' run time included.
  kCall,
};

// Histograms of the times that an entry adds.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  void Observe(AddedTime kind, microseconds time);
  // The counters and sizes of the board and the histograms, in the text format
  // of Prometheus.
  ApiReply Render(const EntryBoard& board, const Now& now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dottereltrack
