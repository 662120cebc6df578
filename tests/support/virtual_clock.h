#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace dottereltrack::testing {

// Executes scheduled actions in order of time; actions with equal times run in
// the order in which they were scheduled.
class VirtualClock {
 public:
  // Starts after 0, because several board rows use boot time 0 as "never".
  BootTime now() const { return now_; }
  // Unix time. The simulation starts at an arbitrary fixed time.
  WallTime wall() const {
    return WallTime{1'800'000'000'000} +
           std::chrono::duration_cast<WallTime>(now_);
  }

  void ScheduleAt(BootTime at, std::function<void()> action) {
    queue_.push({at < now_ ? now_ : at, next_order_++, std::move(action)});
  }
  void ScheduleAfter(BootTime delay, std::function<void()> action) {
    ScheduleAt(now_ + delay, std::move(action));
  }
  void RunUntil(BootTime until) {
    while (!queue_.empty() && queue_.top().at <= until) {
      const Scheduled next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.action();
    }
    now_ = until;
  }

 private:
  struct Scheduled {
    BootTime at{0};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  BootTime now_{1'000'000};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Scheduled> queue_;
};

}  // namespace dottereltrack::testing
