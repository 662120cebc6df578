#include "runtime/clock.h"

#include <ctime>
#include <random>

namespace dottereltrack {

BootTime BootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return seconds{ts.tv_sec} + microseconds{ts.tv_nsec / 1'000};
}

WallTime WallNow() {
  return std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::uint64_t RandomId() {
  std::random_device source;
  std::uint64_t value = 0;
  while (value == 0) {
    value = (static_cast<std::uint64_t>(source()) << 32) | source();
  }
  return value;
}

}  // namespace dottereltrack
