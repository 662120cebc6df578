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

// Returns the settings as JSON, under this project's names rather than the
// platform's.
nlohmann::json ToJson(const users_platform::NodeSettings& settings);

// Returns the names of the settings that differ.
std::vector<std::string> ChangedSettings(
    const users_platform::NodeSettings& before,
    const users_platform::NodeSettings& after);

// A settings file as last read.
struct SettingsFile {
  std::string path;
  std::string text;
  users_platform::NodeSettings settings;
};

// Watches the settings file, which may change without a signal. An invalid file
// is logged and otherwise ignored.
class SettingsWatch {
 public:
  using ChangeCallback =
      std::function<void(const users_platform::NodeSettings&)>;

  SettingsWatch(asio::io_context& loop, SettingsFile file, EventLog& log,
                ChangeCallback on_change);
  void Start();
  // Reads the file immediately and logs the outcome even if nothing has
  // changed.
  void Reload();

 private:
  void ScheduleCheck();
  void CheckFile(bool is_requested);

  SettingsFile file_;
  EventLog& log_;
  ChangeCallback on_change_;
  asio::steady_timer timer_;
};

}  // namespace dottereltrack::pool
