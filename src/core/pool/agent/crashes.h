#pragma once

#include "core/pool/agent/changes.h"

namespace dottereltrack::pool {

// How it is known that the minion's process has ended.
enum class CrashEvidence {
  kOtherInstance,
  // No process listened at its address until the lease of its runs lapsed.
  kConnectionRefused,
  // It did not answer until the lease of its runs lapsed. It may be alive.
  kNoAnswer,
};

// Records that the minion's process has ended without notice while runs were in
// progress on it, and reports it to the entries.
AgentChanges RecordCrash(const AgentBoard& board, CrashEvidence evidence,
                         const Now& now);

AgentChanges ForgetExcessCrashes(const AgentBoard& board);

}  // namespace dottereltrack::pool
