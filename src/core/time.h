#pragma once

#include <chrono>
#include <cstdint>

namespace dottereltrack {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A point on CLOCK_BOOTTIME, in microseconds. This clock keeps running while
// the process or the machine is suspended, so that an authority that expired
// meanwhile is detected on resumption.
using BootTime = std::chrono::microseconds;

// Milliseconds since the Unix epoch.
using WallTime = std::chrono::milliseconds;

// The current times and a random number, which controllers get as arguments so
// that they need neither clocks nor random number generators.
struct Now {
  BootTime boot{0};
  WallTime wall{0};
  std::uint64_t random = 0;
  friend auto operator<=>(const Now&, const Now&) = default;
};

}  // namespace dottereltrack
