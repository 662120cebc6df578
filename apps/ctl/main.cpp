// dotterelctl: shows and changes the state of a cell through one of its
// entries.

#include <asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "apps/ctl/run.h"
#include "dottereltrack/http_client.h"
#include "runtime/settings/file.h"

namespace {

using namespace dottereltrack;  // NOLINT(google-build-using-namespace)

HttpResult CallAndWait(const HttpCall& call) {
  asio::io_context loop(1);
  HttpClient client(loop);
  std::optional<HttpResult> result;
  client.Start(call, [&](HttpResult ended) {
    result = std::move(ended);
    loop.stop();
  });
  loop.run();
  return result.value_or(HttpResult{});
}

// Reads the operators' token from --token-file, without trailing whitespace, or
// from DOTTEREL_TOKEN. Returns nullopt if the file cannot be read.
std::optional<std::string> ReadToken(const CtlCommand& command) {
  if (command.token_file.empty()) {
    const char* token = std::getenv("DOTTEREL_TOKEN");
    return token == nullptr ? std::string() : std::string(token);
  }
  auto token = ReadFile(command.token_file);
  if (token) token->erase(token->find_last_not_of(" \r\n") + 1);
  return token;
}

int RunCommand(const std::vector<std::string>& args) {
  const auto parsed =
      ParseCtlCommand("dotterelctl " DOTTERELTRACK_VERSION, args);
  if (const auto* exit = std::get_if<EarlyExit>(&parsed)) {
    return PrintAndGetExitCode(*exit);
  }
  const auto& command = std::get<CtlCommand>(parsed);
  const auto token = ReadToken(command);
  if (!token) {
    return PrintAndGetExitCode(
        {kExitBadInput,
         command.token_file + ": cannot be read; check --token-file\n"});
  }
  const EarlyExit exit = RunCtl(command, *token, CallAndWait);
  // The response for a failed or open job is regular output, so it goes to
  // stdout.
  const bool has_result = exit.code == kExitOk || exit.code == kExitJobFailed ||
                          exit.code == kExitJobOpen;
  (has_result ? std::cout : std::cerr) << exit.output;
  return exit.code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunCommand({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    return PrintAndGetExitCode(
        {kExitNoAnswer,
         std::string("internal error: ") + e.what() + "; please report it\n"});
  }
}
