// dotterel-agent: starts tasks on the minion of the same worker.

#include <asio/io_context.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "apps/agent/agent_process.h"

namespace {

using namespace dottereltrack;  // NOLINT(google-build-using-namespace)

int RunAgent(AgentDaemonSettings settings) {
  ConfigureLog(settings.log);
  settings.core.id = {RandomId()};
  asio::io_context loop(1);
  AgentProcess process(loop, settings);
  if (!process.Start()) return kExitFailed;
  loop.run();
  return kExitOk;
}

int RunCommand(const std::vector<std::string>& arguments) {
  const auto command = ParseDaemonCommand(
      DaemonUsage("dotterel-agent",
                  "Starts tasks on the minion of the same worker."),
      "dotterel-agent " DOTTERELTRACK_VERSION, arguments);
  if (const auto* exit = std::get_if<EarlyExit>(&command)) {
    return PrintAndGetExitCode(*exit);
  }
  const auto settings =
      LoadSettings(std::get<DaemonCommand>(command), AgentSchema());
  if (const auto* exit = std::get_if<EarlyExit>(&settings)) {
    return PrintAndGetExitCode(*exit);
  }
  return RunAgent(std::get<AgentDaemonSettings>(settings));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunCommand({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "dotterel-agent: exiting after an unexpected error: "
              << error.what()
              << "; please report it with the command line and the settings\n";
    return kExitFailed;
  }
}
