#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Whether this entry may start tasks: it is the dispatcher, its takeover is
// complete, and a majority of the roster has acknowledged its generation within
// the authority timeout. While the outcome of a table write is unknown, a
// majority of the written roster is required too.
bool HasAuthority(const EntryBoard& board, const Now& now);

// Sends heartbeats to fenced agents that have been sent no other message for
// the heartbeat interval.
EntryChanges SendHeartbeats(const EntryBoard& board, const Now& now);

// Takes over or steps down if the adopted table requires it.
EntryChanges UpdateRole(const EntryBoard& board, const Now& now);

// Records when this entry first saw the current generation.
EntryChanges RecordNewGeneration(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
