// dotterel-agent: starts tasks on the minion beside it.

#include <asio/io_context.hpp>
#include <string>
#include <variant>
#include <vector>

#include "apps/agent/agent_process.h"

namespace {

using namespace dottereltrack;  // NOLINT(google-build-using-namespace)

int Run(AgentDaemonSettings settings) {
  ConfigureLog(settings.log);
  settings.core.id = {RandomId()};
  asio::io_context loop(1);
  AgentProcess process(loop, settings);
  if (!process.Start()) return kExitFailed;
  loop.run();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const auto command = ParseDaemonCommand(
      DaemonUsage("dotterel-agent", "Starts tasks on the minion beside it."),
      "dotterel-agent " DOTTERELTRACK_VERSION,
      std::vector<std::string>(argv + 1, argv + argc));
  if (const auto* exit = std::get_if<EarlyExit>(&command)) return Finish(*exit);
  const auto settings =
      LoadSettings(std::get<DaemonCommand>(command), AgentSchema());
  if (const auto* exit = std::get_if<EarlyExit>(&settings)) {
    return Finish(*exit);
  }
  return Run(std::get<AgentDaemonSettings>(settings));
}
