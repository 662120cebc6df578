#pragma once

#include <chrono>

namespace dottereltrack {

// Measures the share of time in which an event loop runs handlers, and how late
// its tick timer fires, as exponential averages by the steady clock. That clock
// also advances while a processor quota throttles the process, so that the
// share is 1 when the quota is used up. Must be used on the loop's thread only.
class BusyMeter {
 public:
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;

  explicit BusyMeter(TimePoint start) : changed_at_(start) {}

  // A handler has started. Has no effect between Begin and End, so that each
  // handler of a turn may call it.
  void Begin(TimePoint now) {
    if (!is_busy_) Switch(now, true);
  }
  // The last handler of a turn has ended.
  void End(TimePoint now) {
    if (is_busy_) Switch(now, false);
  }
  bool is_busy() const { return is_busy_; }
  // The tick timer has fired `lateness` after it was due.
  void RecordTick(Clock::duration lateness);

  // Share of time up to `now`, from 0 to 1.
  double BusyShare(TimePoint now) const;
  std::chrono::milliseconds TickLateness() const;

 private:
  void Switch(TimePoint now, bool is_busy);

  double share_ = 0;
  bool is_busy_ = false;
  TimePoint changed_at_;
  double lateness_ms_ = 0;
};

}  // namespace dottereltrack
