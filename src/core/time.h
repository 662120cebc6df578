#pragma once

#include <chrono>
#include <cstdint>

namespace dottereltrack {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A point on CLOCK_BOOTTIME, in microseconds. It goes on while the process or
// the machine is paused, so an expired authority is noticed after a pause.
using BootTime = std::chrono::microseconds;

// Milliseconds since the Unix epoch.
using WallTime = std::chrono::milliseconds;

// What a controller may know of time and chance.
struct Now {
  BootTime boot{0};
  WallTime wall{0};
  std::uint64_t random = 0;
  friend auto operator<=>(const Now&, const Now&) = default;
};

}  // namespace dottereltrack
