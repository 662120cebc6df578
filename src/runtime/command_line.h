#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runtime/settings/file.h"
#include "runtime/settings/keys.h"

namespace dottereltrack {

// Exit codes of the daemons.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;
inline constexpr int kExitBadUsage = 64;

// A process that has nothing more to do: what it prints, and its exit code.
struct EarlyExit {
  int code = kExitOk;
  std::string output;
  friend bool operator==(const EarlyExit&, const EarlyExit&) = default;
};

// The command line of a daemon.
struct DaemonCommand {
  std::string settings_file;
  bool check_settings = false;
  bool print_settings = false;
  friend bool operator==(const DaemonCommand&, const DaemonCommand&) = default;
};

// The help text of a daemon.
std::string DaemonUsage(const std::string& name, const std::string& summary);

// Parses the arguments, without the program's name.
std::variant<DaemonCommand, EarlyExit> ParseDaemonCommand(
    const std::string& usage, const std::string& version,
    const std::vector<std::string>& args);

// Reads the settings that the command names. `--check-settings`,
// `--print-settings` and faults end the process early.
template <typename T>
std::variant<T, EarlyExit> LoadSettings(const DaemonCommand& command,
                                        const SettingsSchema<T>& schema) {
  T settings;
  if (command.print_settings && command.settings_file.empty()) {
    return EarlyExit{kExitOk, RenderSettings(schema, settings)};
  }
  const auto text = ReadFile(command.settings_file);
  if (!text) {
    return EarlyExit{kExitBadSettings,
                     RenderFaults(command.settings_file,
                                  {{"", 0, "no readable file", "a file",
                                    "check the path after --settings"}})};
  }
  std::vector<SettingsFault> faults;
  const SettingsDocument document = ReadDocument(*text, &faults);
  if (faults.empty()) ReadKeys(schema, document, &settings, &faults);
  if (!faults.empty()) {
    return EarlyExit{kExitBadSettings,
                     RenderFaults(command.settings_file, faults)};
  }
  if (command.print_settings) {
    return EarlyExit{kExitOk, RenderSettings(schema, settings)};
  }
  if (command.check_settings) return EarlyExit{};
  return settings;
}

// Prints the output, to standard error if it is a fault. Returns the code.
int Finish(const EarlyExit& exit);

}  // namespace dottereltrack
