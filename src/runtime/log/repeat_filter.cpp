#include "runtime/log/repeat_filter.h"

#include <algorithm>

namespace dottereltrack {
namespace {

void EvictOldest(RepeatFilter* filter) {
  const auto oldest =
      std::min_element(filter->recent.begin(), filter->recent.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.written_at < b.second.written_at;
                       });
  filter->recent.erase(oldest);
}

}  // namespace

std::optional<std::uint64_t> AdmitLine(RepeatFilter* filter,
                                       const std::string& line, BootTime now) {
  const auto it = filter->recent.find(line);
  if (it == filter->recent.end()) {
    if (filter->recent.size() >= filter->max_lines) EvictOldest(filter);
    filter->recent.emplace(line, RecentLine{now, 0});
    return 0;
  }
  RecentLine& recent = it->second;
  if (now < recent.written_at + filter->interval) {
    ++recent.suppressed;
    return std::nullopt;
  }
  const std::uint64_t suppressed = recent.suppressed;
  recent = RecentLine{now, 0};
  return suppressed;
}

}  // namespace dottereltrack
