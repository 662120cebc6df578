#pragma once

#include "core/pool/entry/changes.h"

namespace dottereltrack::pool {

// Sends waiting tasks to agents with enough free resources, the most urgent
// first.
EntryChanges PlaceTasks(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
