// dotterel-entry: accepts jobs from callers and dispatches their tasks to
// minions.

#include <asio/io_context.hpp>
#include <exception>
#include <string>
#include <variant>
#include <vector>

#include "apps/entry/entry_process.h"
#include "platform/cell_store.h"

namespace {

using namespace dottereltrack;  // NOLINT(google-build-using-namespace)

Store MakeStore(asio::io_context& loop, const EntryDaemonSettings& settings) {
  users_platform::CellStoreSettings store;
  store.address = settings.store_address;
  store.cell = settings.cell;
  return users_platform::MakeCellStore(loop, store, [](std::string_view text) {
    Log(LogPart::kStore, LogLevel::kWarning, text);
  });
}

int RunEntry(EntryDaemonSettings settings) {
  ConfigureLog(settings.log);
  settings.core.id = {RandomId()};
  asio::io_context loop(1);
  EntryProcess process(loop, settings);
  if (!process.Start(MakeStore(loop, settings))) return kExitFailed;
  loop.run();
  return kExitOk;
}

int RunCommand(const std::vector<std::string>& args) {
  const auto command = ParseDaemonCommand(
      DaemonUsage(
          "dotterel-entry",
          "Accepts jobs from callers and dispatches their tasks to minions."),
      "dotterel-entry " DOTTERELTRACK_VERSION, args);
  if (const auto* exit = std::get_if<EarlyExit>(&command)) {
    return PrintAndGetExitCode(*exit);
  }
  const auto settings =
      LoadSettings(std::get<DaemonCommand>(command), EntrySchema());
  if (const auto* exit = std::get_if<EarlyExit>(&settings)) {
    return PrintAndGetExitCode(*exit);
  }
  return RunEntry(std::get<EntryDaemonSettings>(settings));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunCommand({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    return PrintAndGetExitCode(
        {kExitFailed,
         std::string("internal error: ") + e.what() + "; please report it\n"});
  }
}
