#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/time.h"
#include "runtime/command_line.h"

namespace dottereltrack {

// Exit codes of dotterelctl in addition to kExitOk and kExitBadUsage.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitNoAnswer = 2;
inline constexpr int kExitJobFailed = 3;
inline constexpr int kExitJobOpen = 4;
inline constexpr int kExitBadInput = 5;

enum class CtlAction {
  kStatus,
  kGetConfig,
  kSetConfig,
  kLabel,
  kDrain,
  kUndrain,
  kState,
  kConfirmDead,
  kSubmit,
};

// A parsed command line of dotterelctl.
struct CtlCommand {
  CtlAction action = CtlAction::kStatus;
  Endpoint entry;
  std::string token_file;
  bool print_json = false;
  milliseconds timeout{0};
  // The arguments of the action; those it does not take keep their defaults.
  std::string file;
  std::string minion;
  std::string label;
  std::string value;
  std::vector<std::string> agents;
  std::uint64_t expected_version = 0;
  friend bool operator==(const CtlCommand&, const CtlCommand&) = default;
};

const std::string& CtlUsage();

// Parses the arguments, which do not include the program name. Returns
// EarlyExit for --help, --version and invalid arguments.
std::variant<CtlCommand, EarlyExit> ParseCtlCommand(
    const std::string& version, const std::vector<std::string>& args);

}  // namespace dottereltrack
