#pragma once

#include <string>

#include "core/pool/agent/changes.h"

namespace dottereltrack::pool {

// Records that the minion's process has ended without notice while runs were in
// progress on it, and reports it to the entries. `evidence` says how this is
// known.
AgentChanges RecordCrash(const AgentBoard& board, const std::string& evidence,
                         const Now& now);

AgentChanges ForgetOldCrashes(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
