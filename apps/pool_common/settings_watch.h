#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/settings.h"
#include "runtime/log/event_log.h"

namespace dottereltrack::pool {

// The settings by the names that the product gives them.
nlohmann::json ToJson(const users_platform::NodeSettings& settings);

// Names of the settings in which the two differ.
std::vector<std::string> ChangedSettings(
    const users_platform::NodeSettings& before,
    const users_platform::NodeSettings& after);

// A settings file as it was read.
struct SettingsFile {
  std::string path;
  std::string text;
  users_platform::NodeSettings settings;
};

// Follows the settings file, which may change without a signal. A file with a
// fault is logged and changes nothing.
class SettingsWatch {
 public:
  using Changed = std::function<void(const users_platform::NodeSettings&)>;

  SettingsWatch(asio::io_context& loop, SettingsFile file, EventLog& log,
                Changed changed);
  void Start();
  // Reads the file at once and logs the outcome also if nothing has changed.
  void Reload();

 private:
  void Await();
  void Read(bool on_request);

  SettingsFile file_;
  EventLog& log_;
  Changed changed_;
  asio::steady_timer timer_;
};

}  // namespace dottereltrack::pool
