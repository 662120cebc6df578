#include "runtime/log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "runtime/clock.h"

namespace dottereltrack {

EventLog::EventLog(int fd, std::string node, const EventLogLimits& limits)
    : fd_(fd), node_(std::move(node)), limits_(limits) {
  const int flags = fcntl(fd_, F_GETFL);
  if (flags >= 0) fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::Write(const std::string& event, nlohmann::json fields,
                     LineBudget budget) {
  if (!AdmitEvent(event, budget, &fields)) return;
  fields["time_ms"] = WallNow().count();
  fields["node"] = node_;
  fields["event"] = event;
  if (dropped_count_ > 0) fields["dropped"] = dropped_count_;
  Enqueue(
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n");
}

bool EventLog::AdmitEvent(const std::string& event, LineBudget budget,
                          nlohmann::json* fields) {
  if (budget == LineBudget::kUnlimited) return true;
  const std::uint32_t limit = budget == LineBudget::kRoutine
                                  ? limits_.routine_lines_per_second
                                  : limits_.failure_lines_per_second;
  LineCounts& counts = line_counts_[{event, budget}];
  const std::int64_t second =
      std::chrono::duration_cast<seconds>(BootNow()).count();
  if (second != counts.second) {
    counts.second = second;
    counts.written_count = 0;
  }
  if (counts.written_count >= limit) {
    ++counts.omitted_count;
    return false;
  }
  ++counts.written_count;
  if (counts.omitted_count > 0) (*fields)["omitted"] = counts.omitted_count;
  counts.omitted_count = 0;
  return true;
}

// A line is never truncated: it is dropped as a whole if the buffer is full,
// and the rest of a partial write stays in the buffer.
void EventLog::Enqueue(const std::string& line) {
  Flush();
  if (pending_.size() + line.size() > limits_.max_pending_bytes) {
    ++dropped_count_;
    return;
  }
  pending_ += line;
  Flush();
}

void EventLog::Flush() {
  if (pending_.empty()) return;
  const ssize_t n = ::write(fd_, pending_.data(), pending_.size());
  if (n > 0) pending_.erase(0, static_cast<std::size_t>(n));
}

}  // namespace dottereltrack
