#pragma once

// Public header of the runtime library: connections between processes,
// settings, logging and the HTTP server. It makes no scheduling decisions.

#include "runtime/clock.h"                    // IWYU pragma: export
#include "runtime/command_line.h"             // IWYU pragma: export
#include "runtime/http/http_server.h"         // IWYU pragma: export
#include "runtime/link_hub.h"                 // IWYU pragma: export
#include "runtime/log/log.h"                  // IWYU pragma: export
#include "runtime/settings/agent_settings.h"  // IWYU pragma: export
#include "runtime/settings/entry_settings.h"  // IWYU pragma: export
#include "runtime/turn_queue.h"               // IWYU pragma: export
