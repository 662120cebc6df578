#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace dottereltrack {

// A line that was written recently.
struct RecentLine {
  BootTime written_at{0};
  std::uint64_t suppressed = 0;
  friend bool operator==(const RecentLine&, const RecentLine&) = default;
};

// The lines of one process that may repeat, by part and text.
struct RepeatFilter {
  // A line is written at most once in this time.
  milliseconds interval{5'000};
  // Lines that are remembered; older ones are forgotten first.
  std::size_t max_lines = 256;
  std::map<std::string, RecentLine> recent;
};

// Decides about a line at `now`. Returns how many equal lines were suppressed
// since it was last written, or nothing if this one is to be suppressed too.
std::optional<std::uint64_t> AdmitLine(RepeatFilter* filter,
                                       const std::string& line, BootTime now);

}  // namespace dottereltrack
