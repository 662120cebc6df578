#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/time.h"
#include "runtime/command_line.h"

namespace dottereltrack {

// Exit codes of dotterelctl, beside kExitOk and kExitBadUsage.
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

// The command line of dotterelctl.
struct CtlCommand {
  CtlAction action = CtlAction::kStatus;
  Endpoint entry;
  std::string token_file;
  bool json = false;
  milliseconds timeout{0};
  // A file, a minion or a label, as the action needs it.
  std::string file;
  std::string minion;
  std::string label;
  std::string value;
  std::vector<std::string> agents;
  std::uint64_t expected_version = 0;
  friend bool operator==(const CtlCommand&, const CtlCommand&) = default;
};

// The help text.
const std::string& CtlUsage();

// Parses the arguments, without the program's name.
std::variant<CtlCommand, EarlyExit> ParseCtlCommand(
    const std::string& version, const std::vector<std::string>& args);

}  // namespace dottereltrack
