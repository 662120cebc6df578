#pragma once

#include "core/time.h"

namespace dottereltrack::pool {

// Returns how long the process was paused before this turn of the event loop,
// or zero if the delay is within the range of a busy machine. After a pause,
// other processes have closed their links to this one or soon will. Timers
// start a turn at least every `interval`; `last` is the time of the previous
// turn, zero if there was none.
milliseconds PauseDuration(BootTime last, BootTime now, milliseconds interval);

}  // namespace dottereltrack::pool
