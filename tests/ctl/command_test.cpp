#include "apps/ctl/command.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

namespace dottereltrack {
namespace {

constexpr milliseconds kDefaultTimeout{660'000};

CtlCommand Command(CtlAction action) {
  CtlCommand command;
  command.action = action;
  command.entry = {"127.0.0.1", 8080};
  command.timeout = kDefaultTimeout;
  return command;
}

CtlCommand LabelCommand(const std::string& value) {
  CtlCommand command = Command(CtlAction::kLabel);
  command.minion = "m1";
  command.label = "zone";
  command.value = value;
  return command;
}

}  // namespace

// Guards against a command that is documented and not understood.
TEST_CASE("the commands of dotterelctl are read", "[ctl]") {
  struct Row {
    std::vector<std::string> args;
    CtlCommand expected;
  };
  CtlCommand set = Command(CtlAction::kSetConfig);
  set.file = "f";
  set.expected_version = 7;
  CtlCommand drain = Command(CtlAction::kDrain);
  drain.minion = "m1";
  drain.entry = {"127.0.0.2", 9};
  drain.token_file = "t";
  CtlCommand undrain = Command(CtlAction::kUndrain);
  undrain.minion = "m1";
  undrain.timeout = seconds{5};
  CtlCommand state = Command(CtlAction::kState);
  state.entry = {"127.0.0.3", 8081};
  CtlCommand dead = Command(CtlAction::kConfirmDead);
  dead.agents = {"a", "b"};
  CtlCommand submit = Command(CtlAction::kSubmit);
  submit.file = "f";
  submit.json = true;
  const auto row = GENERATE_COPY(values<Row>({
      {{"status"}, Command(CtlAction::kStatus)},
      {{"config", "get"}, Command(CtlAction::kGetConfig)},
      {{"config", "set", "f", "--expected-version", "7"}, set},
      {{"label", "m1", "zone=b"}, LabelCommand("b")},
      {{"label", "m1", "zone="}, LabelCommand("")},
      {{"label", "m1", "zone=a=b"}, LabelCommand("a=b")},
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

// Guards against a mistake on the command line that changes something.
TEST_CASE("a command line that is not understood says why", "[ctl]") {
  struct Row {
    std::vector<std::string> args;
    const char* start;
  };
  const auto row = GENERATE(values<Row>({
      {{}, "The command line is not understood"},
      {{"drain"}, "The command line is not understood"},
      {{"confirm-dead"}, "The command line is not understood"},
      {{"config", "set", "f"}, "The command line is not understood"},
      {{"config", "set", "f", "--expected-version", "-1"},
       "--expected-version takes a whole number."},
      {{"label", "m1", "zone"}, "'zone' is no label; use KEY=VALUE."},
      {{"label", "m1", "=b"}, "'=b' is no label; use KEY=VALUE."},
      {{"--entry", "localhost:80", "status"},
       "'localhost:80' is no address; use IP:PORT."},
      {{"state", "127.0.0.1"}, "'127.0.0.1' is no address; use IP:PORT."},
      {{"--timeout-ms", "0", "status"}, "--timeout-ms takes a whole number"},
  }));
  CAPTURE(row.args);
  const auto command = ParseCtlCommand("v", row.args);
  REQUIRE(std::holds_alternative<EarlyExit>(command));
  const auto& exit = std::get<EarlyExit>(command);
  CHECK(exit.code == kExitBadUsage);
  CHECK(exit.output.find(row.start) == 0);
}

// Guards against changes of the help text that nobody has read.
TEST_CASE("the help text is as approved", "[ctl]") {
  std::ifstream file(DOTTERELTRACK_SOURCE "/tests/ctl/approved_help.txt");
  const std::string approved{std::istreambuf_iterator<char>(file), {}};
  const auto help = ParseCtlCommand("v", {"--help"});
  CHECK(std::get<EarlyExit>(help) == EarlyExit{kExitOk, approved});
}

}  // namespace dottereltrack
