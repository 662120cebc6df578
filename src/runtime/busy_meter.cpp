#include "runtime/busy_meter.h"

#include <algorithm>
#include <cmath>

namespace dottereltrack {
namespace {

using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

// Time constant of the averages. A burst lasts for seconds, and a shorter time
// would follow single turns of a throttled process, whose quota is refilled
// every 100 ms.
constexpr Seconds kTimeConstant{1.0};
// Weight of one tick; the daemons have 40 a second.
constexpr double kTickWeight = 0.05;

// Returns the average after a period in which the value was constant.
double Advance(double average, double value, Seconds period) {
  return value + (average - value) * std::exp(-period / kTimeConstant);
}

}  // namespace

void BusyMeter::RecordTick(Clock::duration lateness) {
  const double ms = std::max(0.0, Milliseconds{lateness}.count());
  lateness_ms_ += kTickWeight * (ms - lateness_ms_);
}

double BusyMeter::BusyShare(TimePoint now) const {
  return Advance(share_, is_busy_ ? 1 : 0, now - changed_at_);
}

std::chrono::milliseconds BusyMeter::TickLateness() const {
  return std::chrono::milliseconds{std::llround(lateness_ms_)};
}

void BusyMeter::Switch(TimePoint now, bool is_busy) {
  share_ = BusyShare(now);
  changed_at_ = now;
  is_busy_ = is_busy;
}

}  // namespace dottereltrack
