#pragma once

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

// The minion's capacity minus the needs of all runs whose end is not known;
// nothing if it has as many runs as allowed.
Resources FreeResources(const AgentBoard& board);

// Whether the minion's data centre is evacuated.
bool IsEvacuated(const AgentBoard& board);

// Share of the minion's capacity that evacuations leave usable; see
// UsableShare.
double CurrentUsableShare(const AgentBoard& board, const Now& now);

// The resources that new runs may take: less than the free ones for some
// seconds after an evacuation, since the minion may be cold.
Resources AvailableResources(const AgentBoard& board, const Now& now);

// Whether the minion has as many runs as this agent allows.
bool HasAllRuns(const AgentBoard& board);

// Whether a run of a suspect task is in progress.
bool HasSuspect(const AgentBoard& board);

// Whether a run had to stop by now and the minion has not accepted the stop. No
// call may renew the lease then.
bool HasOverdueStop(const AgentBoard& board, const Now& now);

// The leases of all runs on the minion expire by this time unless a later call
// renews them.
BootTime LatestLeaseEnd(const AgentBoard& board);

// Whether the minion accepts new runs.
bool IsAccepting(const AgentBoard& board, const Now& now);

// Returns a lower bound of the current time on the minion's clock. A lease that
// is computed from it is never longer than meant, however old the last reading
// is.
std::uint64_t EstimateMinionClockMs(const AgentBoard& board, const Now& now);

}  // namespace dottereltrack::pool
