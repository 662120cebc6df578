#include "apps/ctl/command.h"

#include <docopt/docopt.h>

#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack {
namespace {

using Options = std::map<std::string, docopt::value>;

constexpr char kUsage[] =
    R"(Shows and changes the state of a dottereltrack cell.

Usage:
  dotterelctl [options] status
  dotterelctl [options] config get
  dotterelctl [options] config set FILE --expected-version N
  dotterelctl [options] label MINION <KEY=VALUE>
  dotterelctl [options] drain MINION
  dotterelctl [options] undrain MINION
  dotterelctl [options] state ENTRY
  dotterelctl [options] confirm-dead AGENT...
  dotterelctl [options] submit FILE
  dotterelctl (-h | --help)
  dotterelctl --version

Commands:
  status        Shows entries, agents and minions of the cell as seen by one entry.
  config get    Shows team quotas, label overrides and drained minions.
  config set    Replaces the configuration if its current version is N.
  label         Overrides a label of a minion. An empty VALUE removes the
                override.
  drain         Stops sending new tasks to a minion; running tasks finish.
  undrain       Resumes sending tasks to a drained minion.
  state         Dumps the internal state of the entry at the HTTP address ENTRY.
  confirm-dead  Confirms that agents are dead and will not return. Tasks that ran
                there end as unknown.
  submit        Submits the job in FILE (JSON) and waits for its result.

Options:
  --entry ADDRESS       HTTP address of an entry [default: 127.0.0.1:8080].
  --token-file FILE     File with the operators' token. If omitted, the environment
                        variable DOTTEREL_TOKEN is used.
  --expected-version N  Configuration version that the change is based on.
  --timeout-ms N        Maximum time to wait for a reply [default: 660000].
  --json                Print the JSON reply of the entry instead of tables.
  -h --help             Show this text.
  --version             Show the version.

Exit codes:
  0   success; for submit: the job is complete
  1   the entry refused the request
  2   no reply from the entry; a change or a job may have taken effect
  3   the job failed
  4   the job is still open
  5   a file cannot be read or is invalid
  64  invalid command line
)";

EarlyExit BadUsageExit(const std::string& message) {
  return {kExitBadUsage, message + "\n\n" + kUsage};
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, n);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return n;
}

std::string OptionText(const Options& options, const std::string& name) {
  const auto& value = options.at(name);
  return value.isString() ? value.asString() : std::string();
}

CtlAction SelectedAction(const Options& options) {
  static const std::vector<std::pair<std::string, CtlAction>> actions = {
      {"status", CtlAction::kStatus}, {"get", CtlAction::kGetConfig},
      {"set", CtlAction::kSetConfig}, {"label", CtlAction::kLabel},
      {"drain", CtlAction::kDrain},   {"undrain", CtlAction::kUndrain},
      {"state", CtlAction::kState},   {"confirm-dead", CtlAction::kConfirmDead},
      {"submit", CtlAction::kSubmit}};
  for (const auto& [name, action] : actions) {
    if (options.at(name).asBool()) return action;
  }
  return CtlAction::kStatus;
}

// Parses and validates the numbers, the address and the label. Returns an error
// message, or an empty string on success.
std::string ParseValues(const Options& options, CtlCommand* command) {
  const bool takes_entry_argument = command->action == CtlAction::kState;
  const std::string address =
      OptionText(options, takes_entry_argument ? "ENTRY" : "--entry");
  const auto entry = ParseEndpoint(address);
  if (!entry) return "'" + address + "' is not a valid address; use IP:PORT.";
  command->entry = *entry;

  const auto timeout = ParseNumber(OptionText(options, "--timeout-ms"));
  if (!timeout || *timeout == 0 || *timeout > 86'400'000) {
    return "--timeout-ms takes a whole number from 1 to 86400000.";
  }
  command->timeout = milliseconds{static_cast<std::int64_t>(*timeout)};

  if (command->action == CtlAction::kSetConfig) {
    const auto version = ParseNumber(OptionText(options, "--expected-version"));
    if (!version) return "--expected-version takes a whole number.";
    command->expected_version = *version;
  }
  if (command->action == CtlAction::kLabel) {
    const std::string label_pair = OptionText(options, "<KEY=VALUE>");
    const std::size_t equals = label_pair.find('=');
    if (equals == std::string::npos || equals == 0) {
      return "'" + label_pair + "' is not a valid label; use KEY=VALUE.";
    }
    command->label = label_pair.substr(0, equals);
    command->value = label_pair.substr(equals + 1);
  }
  return {};
}

}  // namespace

const std::string& CtlUsage() {
  static const std::string usage = kUsage;
  return usage;
}

std::variant<CtlCommand, EarlyExit> ParseCtlCommand(
    const std::string& version, const std::vector<std::string>& args) {
  try {
    const Options options = docopt::docopt_parse(kUsage, args, /*help=*/true,
                                                 /*version=*/true);
    CtlCommand command;
    command.action = SelectedAction(options);
    command.token_file = OptionText(options, "--token-file");
    command.print_json = options.at("--json").asBool();
    command.file = OptionText(options, "FILE");
    command.minion = OptionText(options, "MINION");
    command.agents = options.at("AGENT").asStringList();
    const std::string error = ParseValues(options, &command);
    if (!error.empty()) return BadUsageExit(error);
    return command;
  } catch (const docopt::DocoptExitHelp&) {
    return EarlyExit{kExitOk, kUsage};
  } catch (const docopt::DocoptExitVersion&) {
    return EarlyExit{kExitOk, version + "\n"};
  } catch (const docopt::DocoptArgumentError&) {
    return BadUsageExit("Invalid command line; see the usage below.");
  }
}

}  // namespace dottereltrack
