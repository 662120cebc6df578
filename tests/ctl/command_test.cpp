#include "apps/ctl/command.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

namespace dottereltrack {
namespace {

constexpr milliseconds kDefaultTimeout{660'000};

CtlCommand MakeCommand(CtlAction action) {
  CtlCommand command;
  command.action = action;
  command.entry = {"127.0.0.1", 8080};
  command.timeout = kDefaultTimeout;
  return command;
}

CtlCommand MakeLabelCommand(const std::string& value) {
  CtlCommand command = MakeCommand(CtlAction::kLabel);
  command.minion = "m1";
  command.label = "zone";
  command.value = value;
  return command;
}

}  // namespace

// Guards against documented commands that the parser rejects or misreads.
TEST_CASE("dotterelctl commands are parsed", "[ctl]") {
  struct Row {
    std::vector<std::string> args;
    CtlCommand expected;
  };
  CtlCommand set = MakeCommand(CtlAction::kSetConfig);
  set.file = "f";
  set.expected_version = 7;
  CtlCommand drain = MakeCommand(CtlAction::kDrain);
  drain.minion = "m1";
  drain.entry = {"127.0.0.2", 9};
  drain.token_file = "t";
  CtlCommand undrain = MakeCommand(CtlAction::kUndrain);
  undrain.minion = "m1";
  undrain.timeout = seconds{5};
  CtlCommand state = MakeCommand(CtlAction::kState);
  state.entry = {"127.0.0.3", 8081};
  CtlCommand dead = MakeCommand(CtlAction::kConfirmDead);
  dead.agents = {"a", "b"};
  CtlCommand submit = MakeCommand(CtlAction::kSubmit);
  submit.file = "f";
  submit.print_json = true;
  const auto row = GENERATE_COPY(values<Row>({
      {{"status"}, MakeCommand(CtlAction::kStatus)},
      {{"config", "get"}, MakeCommand(CtlAction::kGetConfig)},
      {{"config", "set", "f", "--expected-version", "7"}, set},
      {{"label", "m1", "zone=b"}, MakeLabelCommand("b")},
      {{"label", "m1", "zone="}, MakeLabelCommand("")},
      {{"label", "m1", "zone=a=b"}, MakeLabelCommand("a=b")},
      {{"--entry", "127.0.0.2:9", "--token-file=t", "drain", "m1"}, drain},
      {{"undrain", "m1", "--timeout-ms", "5000"}, undrain},
      {{"state", "127.0.0.3:8081"}, state},
      {{"confirm-dead", "a", "b"}, dead},
      {{"--json", "submit", "f"}, submit},
  }));
  CAPTURE(row.args);
  const auto command = ParseCtlCommand("v", row.args);
  REQUIRE(std::holds_alternative<CtlCommand>(command));
  CHECK(std::get<CtlCommand>(command) == row.expected);
}

// Guards against executing a command whose arguments are invalid.
TEST_CASE("an invalid command line is rejected with the reason", "[ctl]") {
  struct Row {
    std::vector<std::string> args;
    const char* expected_prefix;
  };
  const auto row = GENERATE(values<Row>({
      {{}, "Invalid command line"},
      {{"drain"}, "Invalid command line"},
      {{"confirm-dead"}, "Invalid command line"},
      {{"config", "set", "f"}, "Invalid command line"},
      {{"config", "set", "f", "--expected-version", "-1"},
       "--expected-version takes a whole number."},
      {{"label", "m1", "zone"}, "'zone' is not a valid label; use KEY=VALUE."},
      {{"label", "m1", "=b"}, "'=b' is not a valid label; use KEY=VALUE."},
      {{"--entry", "localhost:80", "status"},
       "'localhost:80' is not a valid address; use IP:PORT."},
      {{"state", "127.0.0.1"},
       "'127.0.0.1' is not a valid address; use IP:PORT."},
      {{"--timeout-ms", "0", "status"}, "--timeout-ms takes a whole number"},
  }));
  CAPTURE(row.args);
  const auto command = ParseCtlCommand("v", row.args);
  REQUIRE(std::holds_alternative<EarlyExit>(command));
  const auto& exit = std::get<EarlyExit>(command);
  CHECK(exit.code == kExitBadUsage);
  CHECK(exit.output.find(row.expected_prefix) == 0);
}

// Guards against unreviewed changes of the help text.
TEST_CASE("the help text matches the approved file", "[ctl]") {
  std::ifstream file(DOTTERELTRACK_SOURCE "/tests/ctl/approved_help.txt");
  const std::string approved{std::istreambuf_iterator<char>(file), {}};
  const auto help = ParseCtlCommand("v", {"--help"});
  CHECK(std::get<EarlyExit>(help) == EarlyExit{kExitOk, approved});
}

}  // namespace dottereltrack
