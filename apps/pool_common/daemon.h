#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/pool/decision.h"
#include "core/time.h"
#include "platform/settings.h"
#include "runtime/link_hub.h"
#include "runtime/log/event_log.h"

namespace dottereltrack::pool {

// Writes a decision to the log. Routine ones count against the budget.
void LogDecision(EventLog* log, const Decision& decision);

// Limits of the links between the processes of a pool.
LinkLimits InternalLinkLimits();

// Parses the command line, loads the settings and runs the daemon with them and
// the path of their file. Returns the exit code.
int RunDaemon(
    const std::string& name, const std::string& summary,
    const std::string& version, const std::vector<std::string>& args,
    const std::function<int(const users_platform::NodeSettings&,
                            const std::string& path, EventLog&)>& run);

}  // namespace dottereltrack::pool
