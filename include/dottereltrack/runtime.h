#pragma once

// Public header of the runtime library: links between processes, settings, logs
// and metrics. It moves bytes and decides nothing.

#include "runtime/link_hub.h"  // IWYU pragma: export
