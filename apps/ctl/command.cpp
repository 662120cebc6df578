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
  status        Entries, agents and minions of the cell, as one entry sees them.
  config get    The configuration: team quotas, label overrides, drained minions.
  config set    Replaces the configuration if its version is still N.
  label         Overrides a label of a minion; an empty VALUE removes the
                override.
  drain         Lets a minion finish its tasks and gives it no more.
  undrain       Gives a drained minion tasks again.
  state         Dump of the tables of the entry at the HTTP address ENTRY.
  confirm-dead  States that agents are dead and will not return. Tasks that ran
                there end as unknown.
  submit        Submits the job in FILE (JSON) and waits for its answer.

Options:
  --entry ADDRESS       HTTP address of an entry [default: 127.0.0.1:8080].
  --token-file FILE     File with the operators' token; without it the variable
                        DOTTEREL_TOKEN is used.
  --expected-version N  Version that the change is based on.
  --timeout-ms N        Longest wait for a reply [default: 660000].
  --json                Print the JSON of the entry instead of tables.
  -h --help             Show this text.
  --version             Show the version.

Exit codes:
  0   done; for submit: the job is complete
  1   the entry refused the request
  2   no answer from the entry; a change or a job may have taken effect
  3   the job has failed
  4   the job is still open
  5   a file cannot be used
  64  the command line is not understood
)";

EarlyExit BadUsage(const std::string& what) {
  return {kExitBadUsage, what + "\n\n" + kUsage};
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, n);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return n;
}

std::string TextOf(const Options& options, const std::string& name) {
  const auto& value = options.at(name);
  return value.isString() ? value.asString() : std::string();
}

CtlAction ActionOf(const Options& options) {
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

// Fills in the numbers and addresses. Returns what is wrong, or nothing.
std::string ReadValues(const Options& options, CtlCommand* command) {
  const bool names_entry = command->action == CtlAction::kState;
  const std::string address =
      TextOf(options, names_entry ? "ENTRY" : "--entry");
  const auto entry = ParseEndpoint(address);
  if (!entry) return "'" + address + "' is no address; use IP:PORT.";
  command->entry = *entry;

  const auto timeout = ParseNumber(TextOf(options, "--timeout-ms"));
  if (!timeout || *timeout == 0 || *timeout > 86'400'000) {
    return "--timeout-ms takes a whole number from 1 to 86400000.";
  }
  command->timeout = milliseconds{static_cast<std::int64_t>(*timeout)};

  if (command->action == CtlAction::kSetConfig) {
    const auto version = ParseNumber(TextOf(options, "--expected-version"));
    if (!version) return "--expected-version takes a whole number.";
    command->expected_version = *version;
  }
  if (command->action == CtlAction::kLabel) {
    const std::string pair = TextOf(options, "<KEY=VALUE>");
    const std::size_t equals = pair.find('=');
    if (equals == std::string::npos || equals == 0) {
      return "'" + pair + "' is no label; use KEY=VALUE.";
    }
    command->label = pair.substr(0, equals);
    command->value = pair.substr(equals + 1);
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
    command.action = ActionOf(options);
    command.token_file = TextOf(options, "--token-file");
    command.json = options.at("--json").asBool();
    command.file = TextOf(options, "FILE");
    command.minion = TextOf(options, "MINION");
    command.agents = options.at("AGENT").asStringList();
    const std::string fault = ReadValues(options, &command);
    if (!fault.empty()) return BadUsage(fault);
    return command;
  } catch (const docopt::DocoptExitHelp&) {
    return EarlyExit{kExitOk, kUsage};
  } catch (const docopt::DocoptExitVersion&) {
    return EarlyExit{kExitOk, version + "\n"};
  } catch (const docopt::DocoptArgumentError&) {
    return BadUsage("The command line is not understood; see below.");
  }
}

}  // namespace dottereltrack
