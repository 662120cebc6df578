#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "core/time.h"

namespace dottereltrack {

// The rate limit of an event. Routine request outcomes have a lower limit than
// failures; events that explain many requests are not limited.
enum class LineBudget { kRoutine, kFailure, kUnlimited };

// Limits of an event log.
struct EventLogLimits {
  // Maximum lines per event name and second; lines above it are only counted.
  std::uint32_t routine_lines_per_second = 20;
  std::uint32_t failure_lines_per_second = 100;
  // Maximum bytes buffered while the pipe is full; further lines are dropped
  // and counted.
  std::size_t max_pending_bytes = 64U << 10;
};

// Writes events as one JSON object per line to a file descriptor, without ever
// blocking. "omitted" in a line is the number of lines of the same event left
// out by the rate limit since the previous one; "dropped" is the total number
// of lines lost because the pipe was full.
class EventLog {
 public:
  EventLog(int fd, std::string node, const EventLogLimits& limits = {});

  // Writes a line with the fields, the event name, the node and the time,
  // unless the rate limit of this event is reached.
  void Write(const std::string& event, nlohmann::json fields,
             LineBudget budget = LineBudget::kUnlimited);

  std::uint64_t dropped_count() const { return dropped_count_; }

 private:
  // Line counts of one event in the current second.
  struct LineCounts {
    std::int64_t second = 0;
    std::uint32_t written_count = 0;
    std::uint64_t omitted_count = 0;
  };

  bool AdmitEvent(const std::string& event, LineBudget budget,
                  nlohmann::json* fields);
  void Enqueue(const std::string& line);
  void Flush();

  int fd_;
  std::string node_;
  EventLogLimits limits_;
  std::map<std::pair<std::string, LineBudget>, LineCounts> line_counts_;
  std::string pending_;
  std::uint64_t dropped_count_ = 0;
};

}  // namespace dottereltrack
