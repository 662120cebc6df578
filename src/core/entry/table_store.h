#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Writes the desired table, unless a store call is in flight or the delay after
// a store failure has not passed.
EntryChanges WriteDesiredTable(const EntryBoard& board, const Now& now);

EntryChanges HandleTableWritten(const EntryBoard& board,
                                const TableWritten& event, const Now& now);

EntryChanges HandleTableObserved(const EntryBoard& board,
                                 const StoredTable& table, const Now& now);

EntryChanges HandleStoreReadFailed(const EntryBoard& board, const Now& now);

// Reads the table if it has never been read and no read is in flight.
EntryChanges ReadTableIfNeeded(const EntryBoard& board, const Now& now);

// Adopts a table that is newer than this entry's and sends it to the peers and
// agents that may not have it.
EntryChanges AdoptTable(const EntryBoard& board, const StoredTable& table);

}  // namespace dottereltrack
