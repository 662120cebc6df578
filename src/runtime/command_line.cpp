#include "runtime/command_line.h"

#include <docopt/docopt.h>

#include <iostream>

namespace dottereltrack {

std::string DaemonUsage(const std::string& name, const std::string& summary) {
  return summary +
         "\n"
         "\n"
         "Usage:\n"
         "  " +
         name +
         " --settings FILE [--check-settings | --print-settings]\n"
         "  " +
         name +
         " --print-settings\n"
         "  " +
         name +
         " (-h | --help)\n"
         "  " +
         name +
         " --version\n"
         "\n"
         "Options:\n"
         "  --settings FILE   Settings in JSON with comments.\n"
         "  --check-settings  List every error in the settings and exit.\n"
         "  --print-settings  Print all settings with their meaning, allowed\n"
         "                    values and defaults, and exit.\n"
         "  -h --help         Show this text.\n"
         "  --version         Show the version.\n"
         "\n"
         "Exit codes:\n"
         "  0   stopped on request, or the settings are valid\n"
         "  1   an address could not be used, or an internal error\n"
         "  2   the settings have errors\n"
         "  64  the command line is not understood\n";
}

std::variant<DaemonCommand, EarlyExit> ParseDaemonCommand(
    const std::string& usage, const std::string& version,
    const std::vector<std::string>& args) {
  try {
    auto values = docopt::docopt_parse(usage, args, /*help=*/true,
                                       /*version=*/true);
    DaemonCommand command;
    if (values["--settings"].isString()) {
      command.settings_file = values["--settings"].asString();
    }
    command.check_settings = values["--check-settings"].asBool();
    command.print_settings = values["--print-settings"].asBool();
    return command;
  } catch (const docopt::DocoptExitHelp&) {
    return EarlyExit{kExitOk, usage};
  } catch (const docopt::DocoptExitVersion&) {
    return EarlyExit{kExitOk, version + "\n"};
  } catch (const docopt::DocoptArgumentError&) {
    return EarlyExit{
        kExitBadUsage,
        "The command line is not understood; see below.\n\n" + usage};
  }
}

int PrintAndGetExitCode(const EarlyExit& exit) {
  (exit.code == kExitOk ? std::cout : std::cerr) << exit.output;
  return exit.code;
}

}  // namespace dottereltrack
