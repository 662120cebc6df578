#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

#include "api/announcement.h"
#include "api/job_json.h"
#include "api/operator_json.h"
#include "platform/config.h"
#include "platform/job.h"
#include "platform/metadata_store.h"
#include "platform/minion.h"
#include "platform/settings.h"
#include "support/json_mutation.h"

namespace dottereltrack {
namespace {

using testing::DamageText;
using testing::MutateJson;

constexpr const char* kStoreItem =
    R"({"key":"odd","value":"YQ==","revision":5,"created":5,"lease":7})";
constexpr const char* kGoodStoreItem =
    R"({"key":"good","value":"YQ==","revision":4})";
constexpr const char* kRunRow = R"(["5c0e7a21d94b36f8.0.0.9",1,"",41,12])";
constexpr const char* kGoodRunRow = R"(["5c0e7a21d94b36f8.0.0.17",2,"",41,0])";
constexpr const char* kReport =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","state":"ready",)"
    R"("capacity":{"cpu":16000,"task_memory_mb":32768,"gpu":0},)"
    R"("labels":["a","r1"],"clock_ms":482113,"sequence":4,"born":1700})";
constexpr const char* kJob =
    R"({"best_effort":true,"spec":"t","steps":[{"count":8,"cpu":6200,)"
    R"("task_memory_mb":64,"gpu":1,"estimated_ms":99}]})";
constexpr const char* kConfig =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("service":"s","priority":2,"max_attempts":3,"stretch":1.6,)"
    R"("target_latency_ms":60}],"services":[],"limits":{}})";
constexpr const char* kSettings =
    R"({"node_name":"n","zone":"a","ip":"10.1.0.13","seeds":["10.2.0.3:8166"],)"
    R"("listen":{"front":"10.1.0.13:8161"},"internal_ports":[7720,7735],)"
    R"("limits":{"file_descriptors":8192},)"
    R"("platform":{"address":"10.200.1.7:8169"}})";
constexpr const char* kApiJob =
    R"({"team":"t","key":"k","tasks":[{"payload":"p","declared_ms":5}],)"
    R"("selector":{"kind":["a","b"]}})";
constexpr const char* kAnnouncement =
    R"({"minion":"m","address":"10.0.0.1:80","slots":8,"labels":{"a":"b"}})";
constexpr const char* kConfigChange =
    R"({"expected_version":1,"teams":{"t":{"max_in_progress":5,"weight":2}}})";

HttpResult Answered(int status, const std::string& body) {
  return {HttpEnd::kAnswered, status, body, ""};
}

// Passes the text to all readers of JSON from outside.
void ReadWithAll(const std::string& text) {
  static_cast<void>(users_platform::ParseStoreResponse(Answered(200, text)));
  static_cast<void>(users_platform::ParseLookAnswer(1, Answered(200, text)));
  static_cast<void>(users_platform::ParseCallAnswer(Answered(409, text)));
  static_cast<void>(users_platform::ParseConfig(text));
  static_cast<void>(users_platform::ParseNodeSettings(text));
  static_cast<void>(ParseJob(EntrySettings{}, text, "", KeySeed{}));
  static_cast<void>(ParseAnnouncement(text, MinionDescription{}));
  static_cast<void>(ParseLeave(text));
  static_cast<void>(ParseConfigChange(text));
  const auto report = users_platform::ParseMinionReport("i", text);
  if (report) {
    RC_ASSERT(report.value().address.port > 0);
    RC_ASSERT(report.value().capacity.cpu_millis >= 0);
  }
  const auto job = users_platform::ParseJobSpec(1, text);
  if (!job) return;
  for (const pool::StepSpec& step : job.value().steps) {
    RC_ASSERT(step.needs.cpu_millis >= 0);
    RC_ASSERT(step.estimate.count() >= 0);
  }
}

// Guards against readers that throw, overflow the stack or read values out of
// range. Reads beyond the end are detected in builds with sanitizers.
TEST_CASE("No text from outside ends a process", "[property][json]") {
  const auto good = GENERATE(
      as<std::string>(), kReport, kJob, kConfig, kSettings, kApiJob,
      kAnnouncement, kConfigChange,
      R"({"items":[{"key":"k","value":"YQ==","revision":4}],"as_of":9})",
      R"({"clock_ms":1,"running":[],"finished":[]})", R"({"reason":"fence"})");
  CAPTURE(good);
  rc::prop("mutated text is read or refused", [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const std::string mutated = MutateJson(good, seed);
    ReadWithAll(mutated);
    ReadWithAll(DamageText(mutated, seed));
  });
}

// Guards against one odd item that hides the others of its list.
TEST_CASE("An odd item leaves the other items of a list as they are",
          "[property][json]") {
  rc::prop("items of the store", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const std::string good = kGoodStoreItem;
    const auto result = users_platform::ParseStoreResponse(Answered(
        200, R"({"items":[)" + good + "," + MutateJson(kStoreItem, seed) + "," +
                 good + R"(],"as_of":9})"));
    const users_platform::StoreItem expected{"good", "a", 4, false};
    RC_ASSERT(result.status == users_platform::StoreStatus::kOk);
    RC_ASSERT(result.view.items.size() == 3U);
    RC_ASSERT(result.view.items.front() == expected);
    RC_ASSERT(result.view.items.back() == expected);
  });
  rc::prop("rows of a minion's runs", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const std::string good = kGoodRunRow;
    const auto lists = users_platform::ParseLookAnswer(
        1, Answered(200, R"({"clock_ms":1,"running":[)" + good + "," +
                             MutateJson(kRunRow, seed) + "," + good + "]}"));
    const pool::ListedRun expected{{{0x5c0e7a21d94b36f8, 0, 17}, 2}, 41};
    RC_ASSERT(lists.answer == pool::CallAnswer::kAccepted);
    RC_ASSERT(lists.running.size() + lists.refused_rows == 3U);
    RC_ASSERT(lists.running.front() == expected);
    RC_ASSERT(lists.running.back() == expected);
  });
}

}  // namespace
}  // namespace dottereltrack
