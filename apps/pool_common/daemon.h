#pragma once

#include <functional>
#include <string>
#include <vector>

#include "apps/pool_common/settings_watch.h"
#include "core/pool/decision.h"
#include "core/time.h"
#include "runtime/link_hub.h"
#include "runtime/log/event_log.h"

namespace dottereltrack::pool {

// Writes a decision to the event log, which limits the rate of routine
// decisions and of failures.
void LogDecision(EventLog* log, const Decision& decision);

// Returns the decision to refuse input from outside, with its problem.
Decision MakeRefusal(std::string event, std::string problem);

// Limits for the links between the processes of a pool.
LinkLimits InternalLinkLimits();

// Parses the command line, loads the settings and runs the daemon with them.
// Returns the exit code.
int RunDaemon(const std::string& name, const std::string& summary,
              const std::string& version, const std::vector<std::string>& args,
              const std::function<int(const SettingsFile&, EventLog&)>& run);

}  // namespace dottereltrack::pool
