#pragma once

#include <string>
#include <vector>

#include "core/agent/settings.h"
#include "core/cell.h"
#include "runtime/http/http_server.h"
#include "runtime/http/reception_report.h"
#include "runtime/log/log.h"
#include "runtime/settings/keys.h"

namespace dottereltrack {

// All settings of dotterel-agent.
struct AgentDaemonSettings {
  // HTTP address on which the agent accepts announcements of the minion.
  Endpoint http_listen{"127.0.0.1", 8090};
  // Link addresses of entries; at least one must be reachable.
  std::vector<Endpoint> entry_seeds;
  std::string data_centre;
  // If empty, the worker is treated as a rack of its own.
  std::string rack;
  AgentSettings core;
  HttpLimits http{
      256U << 10,           16U << 10,           64, milliseconds{60'000},
      milliseconds{10'000}, milliseconds{10'000}};
  MachineLimits machine;
  LogSettings log;
  friend bool operator==(const AgentDaemonSettings&,
                         const AgentDaemonSettings&) = default;
};

const SettingsSchema<AgentDaemonSettings>& AgentSchema();

}  // namespace dottereltrack
