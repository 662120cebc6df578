#include "runtime/command_line.h"

#include <catch2/catch.hpp>

namespace dottereltrack {
namespace {

// Expected output of --help.
constexpr char kHelp[] = R"(Does things.

Usage:
  some-daemon --settings FILE [--check-settings | --print-settings]
  some-daemon --print-settings
  some-daemon (-h | --help)
  some-daemon --version

Options:
  --settings FILE   Settings in JSON with comments.
  --check-settings  List every error in the settings and exit.
  --print-settings  Print all settings with their meaning, allowed
                    values and defaults, and exit.
  -h --help         Show this text.
  --version         Show the version.

Exit codes:
  0   stopped on request, or the settings are valid
  1   an address could not be used, or an internal error
  2   the settings have errors
  64  the command line is not understood
)";

}  // namespace

// Guards against documented options that the parser rejects, and against exit
// codes that differ from the help text.
TEST_CASE("the command line of a daemon is parsed", "[command_line]") {
  struct Row {
    std::vector<std::string> args;
    std::variant<DaemonCommand, EarlyExit> expected;
  };
  const std::string usage = DaemonUsage("some-daemon", "Does things.");
  const std::string not_understood =
      "The command line is not understood; see below.\n\n" + usage;
  const auto row = GENERATE_COPY(values<Row>({
      {{"--settings", "f"}, DaemonCommand{"f", false, false}},
      {{"--settings", "f", "--check-settings"},
       DaemonCommand{"f", true, false}},
      {{"--settings=f", "--print-settings"}, DaemonCommand{"f", false, true}},
      {{"--print-settings"}, DaemonCommand{"", false, true}},
      {{"--help"}, EarlyExit{kExitOk, kHelp}},
      {{"--version"}, EarlyExit{kExitOk, "1.2\n"}},
      {{}, EarlyExit{kExitBadUsage, not_understood}},
      {{"--settings"}, EarlyExit{kExitBadUsage, not_understood}},
      {{"--no-such-option"}, EarlyExit{kExitBadUsage, not_understood}},
  }));
  CAPTURE(row.args);
  CHECK(ParseDaemonCommand(usage, "1.2", row.args) == row.expected);
}

}  // namespace dottereltrack
