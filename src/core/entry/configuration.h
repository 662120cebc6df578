#pragma once

#include "core/entry/changes.h"

namespace dottereltrack {

// Takes a configuration that is newer than ours. The dispatcher passes it on to
// the agents.
EntryChanges AdoptConfig(const EntryBoard& board, const StoredConfig& config);

EntryChanges HandleOperatorSetsConfig(const EntryBoard& board,
                                      const OperatorSetsConfig& event,
                                      const Now& now);
EntryChanges HandleConfigWritten(const EntryBoard& board,
                                 const ConfigWritten& event, const Now& now);
EntryChanges HandleConfigSeen(const EntryBoard& board,
                              const StoredConfig& config);

// Writes undecided changes again and gives up on those that take too long.
EntryChanges RetryConfigChanges(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack
