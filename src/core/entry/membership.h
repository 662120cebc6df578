#pragma once

#include <optional>

#include "core/entry/changes.h"

namespace dottereltrack {

// Whether the entry belongs to the cell.
bool IsMember(const CellTable& table, EntryId id);

// Whether the member is an earlier process at this entry's own address, whose
// place this one has taken. Dialling it would reach this entry itself.
bool IsPredecessor(const EntryBoard& board, const Member& member);

// The cell table that this entry wants to write now: with itself as a member,
// with agents enrolled or removed, or with a new dispatcher. Empty when the
// table is as it should be.
std::optional<CellTable> DesiredTable(const EntryBoard& board, const Now& now);

// Whether a stopping entry may end: its callers have their answers, and it does
// not dispatch, or dispatches alone and has no open job.
bool OwesNothing(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
