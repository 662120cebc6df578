#pragma once

#include "core/time.h"

namespace dottereltrack::pool {

// By how much a turn of the loop comes too late, or zero if that is within the
// bounds of a busy machine. The process did not run meanwhile, and others have
// given up their links to it or soon will. Timers start a turn at least every
// `interval`; `last` is the turn before, zero if there was none.
milliseconds PauseLength(BootTime last, BootTime now, milliseconds interval);

}  // namespace dottereltrack::pool
