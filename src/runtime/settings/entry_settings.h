#pragma once

#include <string>

#include "core/cell.h"
#include "core/entry/settings.h"
#include "runtime/http/http_server.h"
#include "runtime/http/reception_report.h"
#include "runtime/log/log.h"
#include "runtime/settings/keys.h"

namespace dottereltrack {

// All settings of dotterel-entry.
struct EntryDaemonSettings {
  // HTTP listen address for callers and operators.
  Endpoint http_listen{"127.0.0.1", 8080};
  // TCP listen address for agents and other entries.
  Endpoint link_listen{"127.0.0.1", 8081};
  // Address at which agents and other entries reach this entry; `link_listen`
  // if empty.
  Endpoint link_advertise;
  std::string cell;
  Endpoint store_address;
  // If empty, operator requests are rejected.
  std::string operator_token;
  EntrySettings core;
  HttpLimits http;
  MachineLimits machine;
  LogSettings log;
  friend bool operator==(const EntryDaemonSettings&,
                         const EntryDaemonSettings&) = default;
};

const SettingsSchema<EntryDaemonSettings>& EntrySchema();

}  // namespace dottereltrack
