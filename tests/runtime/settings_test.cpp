#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "runtime/command_line.h"
#include "runtime/settings/agent_settings.h"
#include "runtime/settings/endpoint_text.h"
#include "runtime/settings/entry_settings.h"
#include "runtime/settings/nearest.h"

namespace dottereltrack {
namespace {

std::string ErrorsIn(const std::string& text) {
  EntryDaemonSettings settings;
  std::vector<SettingsError> errors;
  const SettingsDocument document = ReadDocument(text, &errors);
  if (errors.empty()) ReadKeys(EntrySchema(), document, &settings, &errors);
  return FormatSettingsErrors("f", errors);
}

// A settings file with the required keys in its first line.
std::string WithRequiredKeys(const std::string& rest) {
  return R"({"data_centre": "a", "cell": "c", "store_url": "http://127.0.0.1:1")" +
         rest + "}";
}

}  // namespace

// Guards against an error that hides the others, and against messages without
// line, key, value found, allowed values or remedy. Compares the whole output.
TEST_CASE("every error in a settings file is reported", "[settings]") {
  const std::string text = R"(// a comment
{
  "data_centre": "kgn-a",
  /* two
     lines */
  "cell": 7,
  "store_url": "https://store",
  "operator_token": ["secret"],
  "authority_timeout": 3000,
  "peer_heartbeat_ms": 1500,
  "max_deadline_ms": -1
}
)";
  CHECK(
      ErrorsIn(text) ==
      R"(f:6: 'cell': found 7; allowed: 1 to 64 letters, digits, '-' and '_'; remedy: set it to an allowed value: Name of the cell; its table and configuration have this name in the store.
f:7: 'store_url': found "https://store"; allowed: a text "http://IP:PORT"; remedy: set it to an allowed value: Address of the platform's store.
f:8: 'operator_token': found a value of type array (not shown); allowed: a text of 1 to 256 bytes; remedy: set it to an allowed value: Token of the operators' calls; they are refused without one.
f:9: 'authority_timeout': found a key that does not exist; allowed: the keys that --print-settings lists; remedy: use 'authority_timeout_ms', the nearest known key, or remove the line
f:10: 'peer_heartbeat_ms': found 1500; allowed: at most half of peer_timeout_ms; remedy: lower it; otherwise one late heartbeat starts a takeover
f:11: 'max_deadline_ms': found -1; allowed: 1 to 86400000; remedy: set it to an allowed value: Longest deadline of a job.
)");
}

// Guards against values that are valid individually but not in combination.
TEST_CASE("constraints between keys are checked", "[settings]") {
  struct Row {
    const char* keys;
    const char* error_key;
  };
  const auto row = GENERATE(values<Row>({
      {R"(, "link_listen": "0.0.0.0:1")", "link_advertise"},
      {R"(, "default_deadline_ms": 700000)", "default_deadline_ms"},
      {R"(, "retention_ms": 600000)", "retention_ms"},
      {R"(, "clock_skew_ms": 900000)", "clock_skew_ms"},
      {R"(, "max_queued_tasks": 1000)", "max_queued_tasks"},
      {R"(, "max_payload_bytes": 5000000)", "max_payload_bytes"},
      {R"(, "majority_heartbeat_ms": 1501)", "majority_heartbeat_ms"},
      {R"(, "peer_heartbeat_ms": 1001)", "peer_heartbeat_ms"},
      {R"(, "member_timeout_ms": 2000)", "member_timeout_ms"},
      {R"(, "store_retry_ms": 5001)", "store_retry_ms"},
      {R"(, "http_reply_timeout_ms": 615000)", "http_reply_timeout_ms"},
  }));
  CAPTURE(row.keys);
  const std::string errors = ErrorsIn(WithRequiredKeys(row.keys));
  const std::string key = "'" + std::string(row.error_key) + "': found";
  CHECK(errors.find(key) != std::string::npos);
  CHECK(std::count(errors.begin(), errors.end(), '\n') == 1);
}

// Guards against accepting a file of which a part has no effect.
TEST_CASE("a file that is not one JSON object is rejected", "[settings]") {
  struct Row {
    const char* text;
    const char* start;
  };
  const auto row = GENERATE(values<Row>({
      {"", "f:1: found invalid JSON"},
      {"[]", "f:1: found a JSON array"},
      {"{\n\"cell\": \"a\"\n\"x\": 1}", "f:3: found invalid JSON"},
      {"{\"cell\": \"a\",\n\"cell\": \"b\"}",
       "f:2: 'cell': found a duplicate key (first in line 1)"},
  }));
  CAPTURE(row.text);
  CHECK(ErrorsIn(row.text).find(row.start) == 0);
}

// Guards against defaults outside their own limits, and against example files
// that no longer match the keys.
TEST_CASE("the example settings have no errors", "[settings]") {
  const DaemonCommand entry{DOTTERELTRACK_SOURCE "/settings/entry.jsonc", true,
                            false};
  const DaemonCommand agent{DOTTERELTRACK_SOURCE "/settings/agent.jsonc", true,
                            false};
  CHECK(std::get<EarlyExit>(LoadSettings(entry, EntrySchema())) == EarlyExit{});
  CHECK(std::get<EarlyExit>(LoadSettings(agent, AgentSchema())) == EarlyExit{});
}

// Guards against printed settings that cannot be used as a settings file.
TEST_CASE("printed settings are read back as the same settings", "[settings]") {
  EntryDaemonSettings settings;
  settings.core.data_centre = "kgn-a";
  settings.cell = "brushwork";
  settings.store_address = {"127.0.0.1", 8070};
  settings.link_advertise =
      GENERATE(values<Endpoint>({{}, {"127.0.0.1", 8081}}));
  settings.log.part_levels[LogPart::kLinks] = LogLevel::kDebug;
  settings.operator_token = "secret";
  const std::string text = FormatSettings(EntrySchema(), settings);
  CHECK(text.find("\"secret\"") == std::string::npos);

  std::vector<SettingsError> errors;
  EntryDaemonSettings read;
  ReadKeys(EntrySchema(), ReadDocument(text, &errors), &read, &errors);
  CHECK(FormatSettingsErrors("f", errors).empty());
  read.operator_token = settings.operator_token;
  CHECK(read == settings);
}

// Guards against accepting addresses that cannot be used.
TEST_CASE("endpoints are IP addresses with a port", "[settings]") {
  struct Row {
    const char* text;
    bool valid;
  };
  const auto row = GENERATE(values<Row>({{"127.0.0.1:80", true},
                                         {"[::1]:80", true},
                                         {"::1:80", false},
                                         {"localhost:80", false},
                                         {"127.0.0.1", false},
                                         {"127.0.0.1:", false},
                                         {"127.0.0.1:65536", false},
                                         {"127.0.0.1:8x", false},
                                         {"[127.0.0.1]:80", false}}));
  CAPTURE(row.text);
  const auto endpoint = ParseEndpoint(row.text);
  CHECK(endpoint.has_value() == row.valid);
  if (endpoint) CHECK(ToText(*endpoint) == row.text);
}

}  // namespace dottereltrack
