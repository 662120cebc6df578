#pragma once

// Public header of the decision library: the data types, the boards (the state)
// of an entry and of an agent, and the functions that process events on them.
// It depends on no socket, HTTP or wire library, so any front end can use it.

#include "core/agent/advance.h"    // IWYU pragma: export
#include "core/agent/board.h"      // IWYU pragma: export
#include "core/agent/changes.h"    // IWYU pragma: export
#include "core/agent/events.h"     // IWYU pragma: export
#include "core/entry/admission.h"  // IWYU pragma: export
#include "core/entry/advance.h"    // IWYU pragma: export
#include "core/entry/board.h"      // IWYU pragma: export
#include "core/entry/changes.h"    // IWYU pragma: export
#include "core/entry/events.h"     // IWYU pragma: export
#include "core/messages.h"         // IWYU pragma: export
