// dotterel-pool-entry: accepts jobs from clients and dispatches their tasks.

#include <asio/io_context.hpp>
#include <exception>
#include <iostream>

#include "apps/pool_common/daemon.h"
#include "apps/pool_entry/pool_entry.h"
#include "runtime/command_line.h"

int main(int argc, char** argv) {
  using namespace dottereltrack;  // NOLINT(google-build-using-namespace)
  try {
    return pool::RunDaemon(
        "dotterel-pool-entry",
        "accepts jobs from clients and dispatches their tasks.",
        DOTTERELTRACK_VERSION, {argv + 1, argv + argc},
        [](const pool::SettingsFile& file, EventLog& log) {
          asio::io_context loop(1);
          pool::PoolEntry entry(loop, file, log);
          if (!entry.Start()) return kExitFailed;
          loop.run();
          return kExitOk;
        });
  } catch (const std::exception& error) {
    std::cerr << "dotterel-pool-entry exits because of an unexpected error: "
              << error.what()
              << "; please report it with the command line and the settings\n";
    return kExitFailed;
  }
}
