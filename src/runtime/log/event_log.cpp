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
                     bool limited) {
  if (limited && !TakeBudget(kind, &fields)) return;
  fields["time_ms"] = WallNow().count();
  fields["node"] = node_;
  fields["event"] = kind;
  if (dropped_ > 0) fields["dropped"] = dropped_;
  Send(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
       "\n");
}

bool EventLog::TakeBudget(const std::string& kind, nlohmann::json* fields) {
  Budget& budget = budgets_[kind];
  const std::int64_t second =
      std::chrono::duration_cast<seconds>(BootNow()).count();
  if (second != budget.second) {
    budget.second = second;
    budget.written = 0;
  }
  if (budget.written >= limits_.lines_per_second) {
    ++budget.omitted;
    return false;
  }
  ++budget.written;
  if (budget.omitted > 0) (*fields)["omitted"] = budget.omitted;
  budget.omitted = 0;
  return true;
}

// A line is written whole or not at all; the rest of a partial write waits.
void EventLog::Send(const std::string& line) {
  if (waiting_.size() + line.size() > limits_.max_waiting_bytes) {
    ++dropped_;
    return;
  }
  waiting_ += line;
  const ssize_t n = ::write(fd_, waiting_.data(), waiting_.size());
  if (n > 0) waiting_.erase(0, static_cast<std::size_t>(n));
}

}  // namespace dottereltrack
