// dotterel-pool-agent: starts tasks on the minion of the same worker.

#include <asio/io_context.hpp>
#include <exception>
#include <iostream>

#include "apps/pool_agent/pool_agent.h"
#include "apps/pool_common/daemon.h"
#include "runtime/command_line.h"

int main(int argc, char** argv) {
  using namespace dottereltrack;  // NOLINT(google-build-using-namespace)
  try {
    return pool::RunDaemon("dotterel-pool-agent",
                           "starts tasks on the minion of the same worker.",
                           DOTTERELTRACK_VERSION, {argv + 1, argv + argc},
                           [](const pool::SettingsFile& file, EventLog& log) {
                             asio::io_context loop(1);
                             pool::PoolAgent agent(loop, file, log);
                             if (!agent.Start()) return kExitFailed;
                             loop.run();
                             return kExitOk;
                           });
  } catch (const std::exception& error) {
    std::cerr << "dotterel-pool-agent exits because of an unexpected error: "
              << error.what()
              << "; please report it with the command line and the settings\n";
    return kExitFailed;
  }
}
