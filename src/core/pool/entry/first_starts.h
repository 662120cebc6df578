#pragma once

#include <functional>
#include <vector>

#include "core/pool/entry/changes.h"

namespace dottereltrack::pool {

// Returns whether the connection of a call is open as far as this machine
// knows. If empty, all are taken as open.
using CallerCheck = std::function<bool(const CallId&)>;

// Returns the callers that have disconnected, among those that wait for jobs
// whose tasks `placement` starts for the first time. Asks once for each caller
// of such a job.
std::vector<CallId> FindDisconnectedCallers(const EntryBoard& board,
                                            const EntryChanges& placement,
                                            const CallerCheck& is_connected);

}  // namespace dottereltrack::pool
