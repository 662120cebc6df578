#include "apps/ctl/run.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "apps/ctl/config_edit.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Fake entry that returns the given replies in order and records the calls.
struct ScriptedEntry {
  std::vector<HttpResult> replies;
  std::vector<HttpCall> calls;

  CallHttp AsCallHttp() {
    return [this](const HttpCall& call) {
      calls.push_back(call);
      if (calls.size() > replies.size()) return HttpResult{};
      return replies[calls.size() - 1];
    };
  }
};

HttpResult MakeReply(int status, const std::string& body) {
  HttpResult result;
  result.end = HttpEnd::kAnswered;
  result.status = status;
  result.body = body;
  return result;
}

HttpResult MakeUnansweredResult(HttpEnd end) {
  HttpResult result;
  result.end = end;
  result.message = "why";
  return result;
}

const char* const kConfig =
    R"({"version":4,"teams":{"a":{"max_in_progress":0,"weight":2}},
        "label_overrides":{"m1":{"zone":"b"}},"drained_minions":["m2"]})";
const char* const kVersionConflict =
    R"({"error":{"code":"version_conflict","message":"m","outcome":"not_run"}})";

CtlCommand MakeCommand(CtlAction action) {
  CtlCommand command;
  command.action = action;
  command.entry = {"127.0.0.1", 8080};
  command.minion = "m1";
  command.agents = {"00000000000000ff"};
  return command;
}

// Creates a file with the given text and deletes it on destruction.
struct TemporaryFile {
  std::string path;
  explicit TemporaryFile(const std::string& text) : path("ctl_run_test.json") {
    std::ofstream(path) << text;
  }
  ~TemporaryFile() { std::remove(path.c_str()); }
};

}  // namespace

// Guards against edits that drop unrelated parts of the configuration.
TEST_CASE("an edit changes only its part of the configuration", "[ctl]") {
  const json config = json::parse(kConfig);
  struct Row {
    json edited;
    const char* path;
    json expected;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {WithLabelOverride(config, "m1", "zone", "c"),
       "/label_overrides",
       {{"m1", {{"zone", "c"}}}}},
      {WithLabelOverride(config, "m3", "arch", "arm"),
       "/label_overrides",
       {{"m1", {{"zone", "b"}}}, {"m3", {{"arch", "arm"}}}}},
      {WithLabelOverride(config, "m1", "zone", ""), "/label_overrides",
       json::object()},
      {WithLabelOverride(config, "m3", "zone", ""),
       "/label_overrides",
       {{"m1", {{"zone", "b"}}}}},
      {WithDrainedMinion(config, "m1"), "/drained_minions",
       json::array({"m2", "m1"})},
      {WithDrainedMinion(config, "m2"), "/drained_minions",
       json::array({"m2"})},
      {WithoutDrainedMinion(config, "m2"), "/drained_minions", json::array()},
      {WithoutDrainedMinion(config, "m1"), "/drained_minions",
       json::array({"m2"})},
  }));
  json expected = config;
  expected[json::json_pointer(row.path)] = row.expected;
  CHECK(row.edited == expected);
}

// Guards against losing an edit when another operator changes the configuration
// between the read and the write.
TEST_CASE("an edit is retried after a version conflict", "[ctl]") {
  ScriptedEntry entry{
      {MakeReply(200, kConfig), MakeReply(409, kVersionConflict),
       MakeReply(200, kConfig), MakeReply(200, kConfig)},
      {}};
  const EarlyExit exit =
      RunCtl(MakeCommand(CtlAction::kDrain), "secret", entry.AsCallHttp());
  CHECK(exit.code == kExitOk);
  REQUIRE(entry.calls.size() == 4);
  CHECK(entry.calls[3].method == "PUT");
  const json body = json::parse(entry.calls[3].body);
  CHECK(body["expected_version"] == 4);
  CHECK_FALSE(body.contains("version"));
  CHECK(body["drained_minions"] == json::array({"m2", "m1"}));
  CHECK(entry.calls[3].headers ==
        std::vector<std::pair<std::string, std::string>>{
            {"Authorization", "Bearer secret"}});
}

// Guards against failures that a script would take for success.
TEST_CASE("the exit code and output report the result of a command", "[ctl]") {
  struct Row {
    CtlAction action;
    HttpResult reply;
    int code;
    const char* output;
  };
  const auto row = GENERATE(values<Row>({
      {CtlAction::kGetConfig, MakeReply(200, kConfig), kExitOk,
       "version 4\n\n"
       "TEAM  MAX IN PROGRESS  WEIGHT\n"
       "a     no limit         2\n\n"
       "MINION  LABEL OVERRIDES\n"
       "m1      zone=b\n\n"
       "DRAINED MINIONS\n"
       "m2\n"},
      {CtlAction::kConfirmDead, MakeReply(409, kVersionConflict), kExitRefused,
       "version_conflict: m (outcome: not_run)\n"},
      {CtlAction::kGetConfig, MakeReply(502, "<html>"), kExitNoAnswer,
       "the reply is not JSON; check that --entry names the HTTP address of an "
       "entry\n"},
      {CtlAction::kGetConfig, MakeUnansweredResult(HttpEnd::kNotConnected),
       kExitNoAnswer, "no answer from the entry: why (nothing was sent)\n"},
      {CtlAction::kConfirmDead, MakeUnansweredResult(HttpEnd::kTimedOut),
       kExitNoAnswer,
       "no answer from the entry: why (a change or a job may have taken "
       "effect)\n"},
  }));
  ScriptedEntry entry{{row.reply}, {}};
  const EarlyExit exit =
      RunCtl(MakeCommand(row.action), "", entry.AsCallHttp());
  CHECK(exit == EarlyExit{row.code, row.output});
}

// Guards against a job that cannot be resubmitted because its generated key was
// lost along with the response.
TEST_CASE("a job is submitted with an idempotency key", "[ctl]") {
  struct Row {
    const char* file;
    HttpResult reply;
    int code;
    bool has_header;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"team":"a","tasks":[{}]})",
       MakeReply(200, R"({"id":"1","complete":true,"tasks":[]})"), kExitOk,
       true},
      {R"({"team":"a","key":"k","tasks":[{}]})",
       MakeReply(200, R"({"id":"1","complete":false,"tasks":[]})"),
       kExitJobFailed, false},
      {R"({"team":"a","tasks":[{}]})", MakeReply(202, R"({"id":"1"})"),
       kExitJobOpen, true},
      {R"({"team":"a","tasks":[{}]})", MakeUnansweredResult(HttpEnd::kTimedOut),
       kExitNoAnswer, true},
      {"no JSON", MakeReply(200, "{}"), kExitBadInput, false},
  }));
  CAPTURE(row.file, row.code);
  const TemporaryFile file(row.file);
  CtlCommand command = MakeCommand(CtlAction::kSubmit);
  command.file = file.path;
  ScriptedEntry entry{{row.reply}, {}};
  const EarlyExit exit = RunCtl(command, "", entry.AsCallHttp());
  CHECK(exit.code == row.code);
  if (row.code == kExitBadInput) return;
  REQUIRE(entry.calls.size() == 1);
  CHECK(entry.calls[0].headers.empty() != row.has_header);
  if (row.code == kExitNoAnswer) {
    CHECK(exit.output.find(entry.calls[0].headers[0].second) !=
          std::string::npos);
  }
}

}  // namespace dottereltrack
