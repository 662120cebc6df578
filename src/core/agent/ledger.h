#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Records that the jobs of opaque keys may start or that submissions are
// closed, and acknowledges the request.
AgentChanges HandleWitnessRequest(const AgentBoard& board,
                                  const WitnessRequest& request,
                                  const Now& now);

// Stores copies of the records of another agent and acknowledges them.
AgentChanges HandleLedgerCopy(const AgentBoard& board, const LedgerCopy& copy,
                              const Now& now);

// Erases records older than the retention period, and drops the oldest outputs
// while their total size exceeds the memory limit.
AgentChanges TrimLedger(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack
