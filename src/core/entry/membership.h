#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// Whether the table lists the entry as a member of the cell.
bool IsMember(const CellTable& table, EntryId id);

// Whether the member is an earlier process at this entry's address, which this
// process has replaced. Dialling it would reach this entry itself.
bool IsReplacedProcess(const EntryBoard& board, const Member& member);

// Returns the cell table that this entry wants to write: with itself as a
// member, with agents added or removed, or with a new dispatcher. Empty if the
// current table needs no change.
std::optional<CellTable> DesiredTable(const EntryBoard& board, const Now& now);

// Whether a stopping entry may exit: all its callers have been answered, and it
// is not the dispatcher, or is the only member and has no open job, or the stop
// timeout has passed.
bool CanExit(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
