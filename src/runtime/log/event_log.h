#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "core/time.h"

namespace dottereltrack {

// How many lines of a kind are written. The usual outcomes of requests give way
// to failures, and failures to lines that explain many requests.
enum class LineBudget { kRoutine, kFailure, kUnlimited };

// Limits of an event log.
struct EventLogLimits {
  // Lines of one kind that are written in a second; further ones are counted.
  std::uint32_t routine_lines_per_second = 20;
  std::uint32_t failure_lines_per_second = 100;
  // Bytes that wait for a full pipe; further lines are counted as dropped.
  std::size_t max_waiting_bytes = 64U << 10;
};

// Writes one JSON object a line to a file descriptor, without ever waiting.
// Lines that were left out are counted in the next line of their kind
// ("omitted") and in all lines ("dropped").
class EventLog {
 public:
  EventLog(int fd, std::string node, const EventLogLimits& limits = {});

  // Writes a line with the fields, the kind and the time, if the budget of
  // lines of this kind allows it.
  void Write(const std::string& kind, nlohmann::json fields,
             LineBudget budget = LineBudget::kUnlimited);

  std::uint64_t dropped() const { return dropped_; }

 private:
  // Lines of one kind in the current second.
  struct Spent {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t omitted = 0;
  };

  bool Spend(const std::string& kind, LineBudget budget,
             nlohmann::json* fields);
  void Send(const std::string& line);
  void Flush();

  int fd_;
  std::string node_;
  EventLogLimits limits_;
  std::map<std::pair<std::string, LineBudget>, Spent> spent_;
  std::string waiting_;
  std::uint64_t dropped_ = 0;
};

}  // namespace dottereltrack
