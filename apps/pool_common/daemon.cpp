#include "apps/pool_common/daemon.h"

#include <docopt/docopt.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "core/pool/task.h"
#include "runtime/command_line.h"

namespace dottereltrack::pool {
namespace {

// Connecting to a running worker takes a few milliseconds. A worker without
// power does not answer at all.
constexpr milliseconds kDialTimeout{150};

LineBudget LineBudgetFor(Severity severity) {
  switch (severity) {
    case Severity::kRoutine:
      return LineBudget::kRoutine;
    case Severity::kFailure:
      return LineBudget::kFailure;
    case Severity::kStateChange:
      return LineBudget::kUnlimited;
  }
  return LineBudget::kUnlimited;
}

std::string Usage(const std::string& name, const std::string& summary) {
  return name + ": " + summary + R"(

Usage:
  )" + name +
         R"( [--settings FILE] [--check-settings | --print-settings]
  )" + name +
         R"( (--help | --version)

Options:
  --settings FILE   The platform's settings file; by default the path in the
                    environment variable )" +
         users_platform::kSettingsPathVariable + R"(.
  --check-settings  Check the settings file, print the first error, and exit.
  --print-settings  Read the settings file, print the settings as JSON, and
                    exit.
  --help            Show this text.
  --version         Show the version.
)";
}

std::string SettingsPath(const std::map<std::string, docopt::value>& options) {
  const auto it = options.find("--settings");
  if (it != options.end() && it->second.isString()) {
    return it->second.asString();
  }
  const char* path = std::getenv(users_platform::kSettingsPathVariable);
  return path == nullptr ? std::string() : path;
}

int ReportSettingsError(const std::string& path, const std::string& problem) {
  std::cerr << "settings file '" << path << "': " << problem << "\n";
  return kExitBadSettings;
}

}  // namespace

void LogDecision(EventLog* log, const Decision& decision) {
  nlohmann::json fields = nlohmann::json::object();
  if (decision.job != 0) fields["job"] = JobIdToText(decision.job);
  for (const auto& [name, value] : decision.texts) fields[name] = value;
  for (const auto& [name, value] : decision.numbers) fields[name] = value;
  log->Write(decision.event, std::move(fields),
             LineBudgetFor(decision.severity));
}

Decision MakeRefusal(std::string event, std::string problem) {
  return {Severity::kFailure,
          std::move(event),
          0,
          {{"problem", std::move(problem)}},
          {}};
}

LinkLimits InternalLinkLimits() {
  LinkLimits limits;
  limits.dial_timeout = kDialTimeout;
  return limits;
}

int RunDaemon(const std::string& name, const std::string& summary,
              const std::string& version, const std::vector<std::string>& args,
              const std::function<int(const SettingsFile&, EventLog&)>& run) {
  // Otherwise SIGPIPE would terminate the process when the reader of the log
  // closes its end of the pipe.
  std::signal(SIGPIPE, SIG_IGN);
  std::map<std::string, docopt::value> options;
  try {
    options = docopt::docopt_parse(Usage(name, summary), args, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << Usage(name, summary);
    return kExitOk;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << name << " " << version << "\n";
    return kExitOk;
  } catch (const std::runtime_error& error) {
    std::cerr << error.what() << "\n" << Usage(name, summary);
    return kExitBadUsage;
  }
  const std::string path = SettingsPath(options);
  const auto text = ReadFile(path);
  if (!text) {
    return ReportSettingsError(
        path, std::string("cannot be read; set its path with --settings "
                          "or in ") +
                  users_platform::kSettingsPathVariable);
  }
  const auto settings = users_platform::ParseNodeSettings(*text);
  if (!settings) return ReportSettingsError(path, settings.error().message);
  const auto& seed_problems = settings.value().seed_problems;
  if (options["--check-settings"].asBool()) {
    if (seed_problems.empty()) return kExitOk;
    return ReportSettingsError(path, seed_problems.front());
  }
  if (options["--print-settings"].asBool()) {
    std::cout << ToJson(settings.value()).dump(2) << "\n";
    return kExitOk;
  }
  EventLog log(STDOUT_FILENO, settings.value().node_name);
  for (const std::string& problem : seed_problems) {
    log.Write("seed_ignored", {{"problem", problem}});
  }
  return run({path, *text, settings.value()}, log);
}

}  // namespace dottereltrack::pool
