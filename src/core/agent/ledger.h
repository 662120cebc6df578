#pragma once

#include "core/agent/changes.h"

namespace dottereltrack {

// Records that the jobs of opaque keys may start, or that submissions are
// closed, and confirms it.
AgentChanges HandleWitnessRequest(const AgentBoard& board,
                                  const WitnessRequest& request,
                                  const Now& now);

// Takes over the records of another agent and confirms it.
AgentChanges HandleLedgerCopy(const AgentBoard& board, const LedgerCopy& copy,
                              const Now& now);

// Drops records older than the retention, and outputs above the memory limit.
AgentChanges TrimLedger(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack
