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

void EventLog::Write(const std::string& kind, nlohmann::json fields,
                     LineBudget budget) {
  if (!Spend(kind, budget, &fields)) return;
  fields["time_ms"] = WallNow().count();
  fields["node"] = node_;
  fields["event"] = kind;
  if (dropped_ > 0) fields["dropped"] = dropped_;
  Send(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
       "\n");
}

bool EventLog::Spend(const std::string& kind, LineBudget budget,
                     nlohmann::json* fields) {
  if (budget == LineBudget::kUnlimited) return true;
  const std::uint32_t limit = budget == LineBudget::kRoutine
                                  ? limits_.routine_lines_per_second
                                  : limits_.failure_lines_per_second;
  Spent& spent = spent_[{kind, budget}];
  const std::int64_t second =
      std::chrono::duration_cast<seconds>(BootNow()).count();
  if (second != spent.second) {
    spent.second = second;
    spent.written = 0;
  }
  if (spent.written >= limit) {
    ++spent.omitted;
    return false;
  }
  ++spent.written;
  if (spent.omitted > 0) (*fields)["omitted"] = spent.omitted;
  spent.omitted = 0;
  return true;
}

// A line is never truncated: it is dropped as a whole if the buffer is full,
// and the rest of a partial write stays in the buffer.
void EventLog::Send(const std::string& line) {
  Flush();
  if (waiting_.size() + line.size() > limits_.max_waiting_bytes) {
    ++dropped_;
    return;
  }
  waiting_ += line;
  Flush();
}

void EventLog::Flush() {
  if (waiting_.empty()) return;
  const ssize_t n = ::write(fd_, waiting_.data(), waiting_.size());
  if (n > 0) waiting_.erase(0, static_cast<std::size_t>(n));
}

}  // namespace dottereltrack
