#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Whether this entry may send starts: it is the dispatcher, the inventory of
// its takeover is settled, and a majority of the roster has acknowledged its
// generation within the authority timeout. While a table write is unresolved,
// the majority of the written roster is needed too.
bool HasAuthority(const EntryBoard& board, const Now& now);

// Sends heartbeats to agents that have had no other message for long.
EntryChanges SendHeartbeats(const EntryBoard& board, const Now& now);

// The role after a newer table was adopted: takes over, steps down, or neither.
EntryChanges FollowTable(const EntryBoard& board, const Now& now);

// Notes since when this entry has known of the current dispatcher.
EntryChanges NoteDispatcher(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
