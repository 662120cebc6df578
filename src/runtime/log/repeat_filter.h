#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace dottereltrack {

// When a line was last written and how many repeats have been suppressed since.
struct RecentLine {
  BootTime written_at{0};
  std::uint64_t suppressed = 0;
  friend bool operator==(const RecentLine&, const RecentLine&) = default;
};

// Suppresses log lines that repeat. `recent` is keyed by part and text.
struct RepeatFilter {
  // A line is written at most once per interval.
  milliseconds interval{5'000};
  // Maximum number of remembered lines; the oldest is evicted first.
  std::size_t max_lines = 256;
  std::map<std::string, RecentLine> recent;
};

// Decides whether to write a line. Returns the number of identical lines
// suppressed since it was last written, or nullopt if it must be suppressed.
std::optional<std::uint64_t> AdmitLine(RepeatFilter* filter,
                                       const std::string& line, BootTime now);

}  // namespace dottereltrack
