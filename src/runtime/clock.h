#pragma once

#include "core/time.h"

namespace dottereltrack {

// CLOCK_BOOTTIME, which keeps advancing while the machine is suspended.
BootTime BootNow();

// Time since the Unix epoch.
WallTime WallNow();

// A random, nonzero 64-bit number from the operating system, used to identify a
// process instance.
std::uint64_t RandomId();

}  // namespace dottereltrack
