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

// The output and exit code of a process that exits without starting the daemon.
struct EarlyExit {
  int code = kExitOk;
  std::string output;
  friend bool operator==(const EarlyExit&, const EarlyExit&) = default;
};

// The parsed command line of a daemon.
struct DaemonCommand {
  std::string settings_file;
  bool check_settings = false;
  bool print_settings = false;
  friend bool operator==(const DaemonCommand&, const DaemonCommand&) = default;
};

// The help text of a daemon.
std::string DaemonUsage(const std::string& name, const std::string& summary);

// Parses the command-line arguments; `args` does not contain the program name.
std::variant<DaemonCommand, EarlyExit> ParseDaemonCommand(
    const std::string& usage, const std::string& version,
    const std::vector<std::string>& args);

// Reads the settings file named on the command line. Returns an EarlyExit for
// `--check-settings`, for `--print-settings` and if the settings have errors.
template <typename T>
std::variant<T, EarlyExit> LoadSettings(const DaemonCommand& command,
                                        const SettingsSchema<T>& schema) {
  T settings;
  if (command.print_settings && command.settings_file.empty()) {
    return EarlyExit{kExitOk, FormatSettings(schema, settings)};
  }
  const auto text = ReadFile(command.settings_file);
  if (!text) {
    return EarlyExit{
        kExitBadSettings,
        FormatSettingsErrors(
            command.settings_file,
            {{"", 0, "a file that cannot be read", "a readable file",
              "check the path after --settings"}})};
  }
  std::vector<SettingsError> errors;
  const SettingsDocument document = ReadDocument(*text, &errors);
  if (errors.empty()) ReadKeys(schema, document, &settings, &errors);
  if (!errors.empty()) {
    return EarlyExit{kExitBadSettings,
                     FormatSettingsErrors(command.settings_file, errors)};
  }
  if (command.print_settings) {
    return EarlyExit{kExitOk, FormatSettings(schema, settings)};
  }
  if (command.check_settings) return EarlyExit{};
  return settings;
}

// Prints the output, to standard error unless the exit code is kExitOk. Returns
// the exit code.
int PrintAndGetExitCode(const EarlyExit& exit);

}  // namespace dottereltrack
