#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Adopts a configuration that is newer than this entry's. The dispatcher sends
// it to the agents.
EntryChanges AdoptConfig(const EntryBoard& board, const StoredConfig& config);

EntryChanges HandleOperatorSetsConfig(const EntryBoard& board,
                                      const OperatorSetsConfig& event,
                                      const Now& now);
EntryChanges HandleConfigWritten(const EntryBoard& board,
                                 const ConfigWritten& event, const Now& now);
EntryChanges HandleConfigObserved(const EntryBoard& board,
                                  const StoredConfig& config);

// Repeats writes whose outcome is unknown, and answers changes that have timed
// out.
EntryChanges RetryConfigChanges(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
