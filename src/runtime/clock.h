#pragma once

#include "core/time.h"

namespace dottereltrack {

// CLOCK_BOOTTIME, which goes on while the machine is suspended.
BootTime BootNow();

// Time since the Unix epoch.
WallTime WallNow();

// Random 64 bits from the system, never zero; for ids of processes.
std::uint64_t RandomId();

}  // namespace dottereltrack
