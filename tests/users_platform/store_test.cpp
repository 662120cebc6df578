#include <catch2/catch.hpp>

#include "json/base64.h"
#include "platform/config.h"
#include "platform/metadata_store.h"
#include "platform/settings.h"

namespace dottereltrack::users_platform {
namespace {

HttpResult Answered(int status, const std::string& body) {
  return {HttpEnd::kAnswered, status, body, ""};
}

TEST_CASE("Responses of the store are mapped to statuses",
          "[platform][store]") {
  // Guards against a write that is treated as not applied although it may have
  // been.
  struct Row {
    HttpResult result;
    StoreStatus status;
  };
  const auto row = GENERATE(values<Row>(
      {{Answered(200, "{}"), StoreStatus::kOk},
       {Answered(200, ""), StoreStatus::kOk},
       {Answered(200, "no json"), StoreStatus::kUnanswered},
       {Answered(404, ""), StoreStatus::kGone},
       {Answered(410, ""), StoreStatus::kGone},
       {Answered(429, ""), StoreStatus::kRefused},
       {Answered(503, ""), StoreStatus::kRefused},
       {{HttpEnd::kNotConnected, 0, "", "x"}, StoreStatus::kRefused},
       {{HttpEnd::kTimedOut, 0, "", "x"}, StoreStatus::kUnanswered},
       {{HttpEnd::kTransportError, 0, "", "x"}, StoreStatus::kUnanswered}}));
  CAPTURE(ToString(row.result.end), row.result.status, row.result.body);
  const auto result = ParseStoreResponse(row.result);
  CHECK(result.status == row.status);
  CHECK(result.message.empty() == (row.status == StoreStatus::kOk));
}

TEST_CASE("Items, events and single items are parsed alike",
          "[platform][store]") {
  // Guards against values that base64 decoding truncates or pads.
  struct Row {
    const char* body;
    StoreItem item;
  };
  const auto row = GENERATE(values<Row>(
      {{R"({"key":"k","value":"bm9kZS0x","revision":4,"as_of":9})",
        {"k", "node-1", 4, false}},
       {R"({"items":[{"key":"k","value":"YQ==","revision":4}],"as_of":9})",
        {"k", "a", 4, false}},
       {R"({"events":[{"key":"k","value":"","revision":4}],"as_of":9})",
        {"k", "", 4, false}},
       {R"({"events":[{"key":"k","revision":4,"deleted":true}],"as_of":9})",
        {"k", "", 4, true}}}));
  CAPTURE(row.body);
  const auto result = ParseStoreResponse(Answered(200, row.body));
  REQUIRE(result.status == StoreStatus::kOk);
  CHECK(result.view == StoreView{{row.item}, 9});
}

TEST_CASE("Long values of the store are decoded like short ones",
          "[platform][store]") {
  // Guards against a configuration of thousands of queues that is lost, is
  // mistaken for another key's, or hides a fault of the response.
  const std::string value(6'000, 'x');
  const std::string text = ToBase64(value);
  const auto item = [](const std::string& key, const std::string& content) {
    return R"({"key":")" + key + R"(", "revision":9,"value" : ")" + content +
           R"("})";
  };
  struct Row {
    std::string items;
    std::vector<StoreItem> expected;
  };
  const std::string long_key(5'000, 'k');
  const auto row = GENERATE_COPY(values<Row>({
      {item("a", text), {{"a", value, 9}}},
      {item("a", text) + "," + item("b", "eA==") + "," + item("c", text),
       {{"a", value, 9}, {"b", "x", 9}, {"c", value, 9}}},
      {item(long_key, "eA=="), {{long_key, "x", 9}}},
      {item("a\\\"", text), {{"a\"", value, 9}}},
      {item("a", text + "?"),
       {{"a", "", 0, false,
         "items[0].value is not base64; write standard base64 with padding"}}},
      {item("a", "\\u00000"),
       {{"a", "", 0, false,
         "items[0].value is not base64; write standard base64 with padding"}}},
  }));
  CAPTURE(row.items.substr(0, 40));
  const auto result = ParseStoreResponse(
      Answered(200, R"({"as_of":9,"items":[)" + row.items + "]}"));
  REQUIRE(result.status == StoreStatus::kOk);
  CHECK(result.view == StoreView{row.expected, 9});
  CHECK(ParseStoreResponse(Answered(200, R"({"value":")" + text)).status ==
        StoreStatus::kUnanswered);
}

TEST_CASE("A configuration is decoded into queues", "[platform][config]") {
  // Guards against limits and priorities that are dropped.
  const auto config = ParseConfig(
      R"({"version":7,"routes":[{"name":"r-1","host":"h","prefix":"/p/",)"
      R"("kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,)"
      R"("priority":2,"service":"s","max_attempts":3,"stretch":1.6}],)"
      R"("services":[],"limits":{}})");
  REQUIRE(config);
  CHECK(config.value() ==
        pool::PoolConfig{
            7, {{"r-1", "h", "/p/", "s", 2, 3, 1.6, milliseconds{60}}}});
}

TEST_CASE("A configuration that cannot be parsed is rejected as a whole",
          "[platform][config]") {
  // Guards against dropping queues because a single field is invalid.
  const auto text =
      GENERATE("no json", R"({"routes":[]})", R"({"version":"7","routes":[]})",
               R"({"version":7,"routes":[{"name":"r"}]})");
  CAPTURE(text);
  CHECK_FALSE(ParseConfig(text));
}

TEST_CASE("Settings of a worker are decoded", "[platform][settings]") {
  // Guards against swapped addresses. Seeds carry the port of another
  // interface.
  const auto settings = ParseNodeSettings(
      R"({"node_name":"frontend-a-1","zone":"a","ip":"10.1.0.13",)"
      R"("listen":{"front":"10.1.0.13:8161","readiness":"10.1.0.13:8167"},)"
      R"("internal_ports":[7720,7735],"seeds":["10.2.0.30:8166"],)"
      R"("app":"10.1.0.14:8165","service":"s","unknown":{},)"
      R"("limits":{"file_descriptors":8192,"cpu_share":0.25,"cores":2,)"
      R"("memory_mb":160,"link_mbps":25.0,"overload_share":0.7},)"
      R"("zones":{"a":"r","b":"r"},)"
      R"("bounds":{"remote_factor":1.5,"fencing_enforced":false},)"
      R"("platform":{"address":"10.200.1.7:8169"}})");
  REQUIRE(settings);
  NodeSettings expected;
  expected.node_name = "frontend-a-1";
  expected.data_centre = "a";
  expected.client_address = {"10.1.0.13", 8161};
  expected.readiness_address = {"10.1.0.13", 8167};
  expected.internal_address = {"10.1.0.13", 7720};
  expected.seeds = {{"10.2.0.30", 7720}};
  expected.service = "s";
  expected.store_address = {"10.200.1.7", 8169};
  expected.max_descriptors = 8'192;
  expected.cpu_cores = 0.5;
  expected.memory_mb = 160;
  expected.link_mbps = 25;
  expected.overload_share = 0.7;
  expected.remote_factor = 1.5;
  expected.data_centres = {"a", "b"};
  CHECK(settings.value() == expected);
}

TEST_CASE("An error in the settings names the field", "[platform][settings]") {
  // Guards against processes that run with an unintended address.
  struct Row {
    const char* text;
    const char* field;
  };
  const auto row = GENERATE(values<Row>(
      {{"{", ""},
       {R"({"zone":"a"})", "node_name"},
       {R"({"node_name":"n","zone":"a","ip":"i","internal_ports":[1],)"
        R"("listen":{"front":"x"}})",
        "listen.front"},
       {R"({"node_name":"n","zone":"a","ip":"i","internal_ports":[1],)"
        R"("listen":{},"limits":{"link_mbps":-1}})",
        "limits.link_mbps"},
       {R"({"node_name":"n","zone":"a","ip":"i","internal_ports":[1],)"
        R"("listen":{},"bounds":{"remote_factor":0.5}})",
        "bounds.remote_factor"}}));
  CAPTURE(row.text);
  const auto settings = ParseNodeSettings(row.text);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().field == row.field);
}

}  // namespace
}  // namespace dottereltrack::users_platform
