#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Writes the desired table, unless a write is under way or the store has failed
// a moment ago.
EntryChanges WriteDesiredTable(const EntryBoard& board, const Now& now);

EntryChanges HandleTableWritten(const EntryBoard& board,
                                const TableWritten& event, const Now& now);

EntryChanges HandleTableSeen(const EntryBoard& board, const StoredTable& table,
                             const Now& now);

EntryChanges HandleStoreReadFailed(const EntryBoard& board, const Now& now);

// Reads the table when a write is undecided or nothing is known yet.
EntryChanges ReadTableIfNeeded(const EntryBoard& board, const Now& now);

// Takes a table that is newer than ours and tells peers that may lack it.
EntryChanges AdoptTable(const EntryBoard& board, const StoredTable& table);

}  // namespace dottereltrack
