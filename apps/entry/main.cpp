// dotterel-entry: takes jobs from callers and dispatches them to minions.

#include <asio/io_context.hpp>
#include <string>
#include <variant>
#include <vector>

#include "apps/entry/entry_process.h"

namespace {

using namespace dottereltrack;  // NOLINT(google-build-using-namespace)

Store MakeStore(asio::io_context& loop, const EntryDaemonSettings& settings) {
  StoreClientSettings store;
  store.address = settings.store_address;
  store.cell = settings.cell;
  return MakeHttpStore(loop, store, [](std::string_view text) {
    Log(LogPart::kStore, LogLevel::kWarning, text);
  });
}

int Run(EntryDaemonSettings settings) {
  ConfigureLog(settings.log);
  settings.core.id = {RandomId()};
  asio::io_context loop(1);
  EntryProcess process(loop, settings);
  if (!process.Start(MakeStore(loop, settings))) return kExitFailed;
  loop.run();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const auto command = ParseDaemonCommand(
      DaemonUsage("dotterel-entry",
                  "Takes jobs from callers and dispatches them to minions."),
      "dotterel-entry " DOTTERELTRACK_VERSION,
      std::vector<std::string>(argv + 1, argv + argc));
  if (const auto* exit = std::get_if<EarlyExit>(&command)) return Finish(*exit);
  const auto settings =
      LoadSettings(std::get<DaemonCommand>(command), EntrySchema());
  if (const auto* exit = std::get_if<EarlyExit>(&settings)) {
    return Finish(*exit);
  }
  return Run(std::get<EntryDaemonSettings>(settings));
}
