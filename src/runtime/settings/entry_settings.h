#pragma once

#include <string>

#include "core/cell.h"
#include "core/entry/settings.h"
#include "runtime/http/http_server.h"
#include "runtime/log/log.h"
#include "runtime/settings/keys.h"

namespace dottereltrack {

// All settings of dotterel-entry.
struct EntryDaemonSettings {
  // Where callers and operators connect by HTTP.
  Endpoint http_listen{"127.0.0.1", 8080};
  // Where agents and other entries connect.
  Endpoint link_listen{"127.0.0.1", 8081};
  // How agents and other entries reach `link_listen`; the same if empty.
  Endpoint link_advertise;
  std::string cell;
  Endpoint store_address;
  // Operators' calls are refused while it is empty.
  std::string operator_token;
  EntrySettings core;
  HttpLimits http;
  LogSettings log;
  friend bool operator==(const EntryDaemonSettings&,
                         const EntryDaemonSettings&) = default;
};

const SettingsSchema<EntryDaemonSettings>& EntrySchema();

}  // namespace dottereltrack
