#include "dottereltrack/cell_store.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "dottereltrack/http_client.h"
#include "platform/cell_store.h"
#include "support/child_process.h"

namespace dottereltrack {
namespace {

using Clock = std::chrono::steady_clock;
using testing::ChildProcess;
using users_platform::CellStoreSettings;
using users_platform::kMaxStoreValueBytes;

// Timeout for tests that hang. No test depends on its value.
constexpr milliseconds kTestTimeout{20'000};

// Runs the store's stand-in as a child process, with a client on the test's
// event loop.
class StoreFixture {
 public:
  StoreFixture() : process_({STANDIN_STORE_PATH}), http_(loop_) {
    REQUIRE(process_.port() != 0);
    settings_.address = {"127.0.0.1", process_.port()};
    settings_.cell = "test";
    settings_.timeout = milliseconds(300);
    settings_.watch_wait = milliseconds(300);
    settings_.min_failed_watch_duration = milliseconds(200);
    store_ = users_platform::MakeCellStore(
        loop_, settings_,
        [this](std::string_view text) { report_ = std::string(text); });
  }

  ChildProcess& process() { return process_; }
  const Store& store() const { return store_; }
  const std::string& report() const { return report_; }
  asio::io_context& loop() { return loop_; }
  void DropStore() { store_ = {}; }
  // Runs the loop for one polling interval.
  void RunForPollInterval() {
    asio::steady_timer timer(loop_, milliseconds(20));
    bool over = false;
    timer.async_wait([&](const std::error_code&) { over = true; });
    loop_.restart();
    while (!over) loop_.run_one();
  }

  // Runs the loop until the callback passed to `call` has been invoked.
  template <typename T>
  T Await(const std::function<void(std::function<void(T)>)>& call) {
    std::optional<T> result;
    int calls = 0;
    call([&](T value) {
      ++calls;
      result = std::move(value);
    });
    CHECK(calls == 0);
    const auto end = Clock::now() + kTestTimeout;
    loop_.restart();
    while (!result && Clock::now() < end) loop_.run_one_for(kTestTimeout);
    REQUIRE(result.has_value());
    CHECK(calls == 1);
    return std::move(*result);
  }

  HttpResult Http(const std::string& method, const std::string& path,
                  const std::string& body) {
    HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(process_.port()) + path;
    call.body = body;
    return Await<HttpResult>(
        [&](auto done) { http_.Start(call, std::move(done)); });
  }
  // Writes an item directly over HTTP, bypassing the cell store client.
  HttpResult PutItem(const std::string& key, const std::string& value,
                     std::uint64_t lease) {
    const nlohmann::json body = {
        {"expected_revision", {{{"key", key}, {"revision", 0}}}},
        {"puts", {{{"key", key}, {"value", value}, {"lease", lease}}}},
        {"remove", nlohmann::json::array()}};
    return Http("POST", "/-/kv-txn", body.dump());
  }
  void SetFaults(const std::string& json) {
    REQUIRE(Http("PUT", "/faults", json).status == 200);
  }
  std::uint64_t Count(const char* kind) {
    return nlohmann::json::parse(Http("GET", "/counts", "").body)[kind];
  }

  WriteResult Write(std::uint64_t expected, std::uint64_t generation) {
    CellTable table;
    table.generation = generation;
    return Await<WriteResult>([&](auto done) {
      store_.write_table(expected, table, std::move(done));
    });
  }
  std::optional<StoredTable> Read() {
    return Await<std::optional<StoredTable>>(
        [&](auto done) { store_.read_table(std::move(done)); });
  }
  std::optional<StoredTable> Watch(std::uint64_t after) {
    return Await<std::optional<StoredTable>>(
        [&](auto done) { store_.watch_table(after, std::move(done)); });
  }

 private:
  asio::io_context loop_;
  ChildProcess process_;
  HttpClient http_;
  CellStoreSettings settings_;
  Store store_;
  std::string report_;
};

const char* const kNoFaults = R"({"mode": "up"})";

}  // namespace

// Guards against two concurrent writes that both succeed, which would result in
// two dispatchers.
TEST_CASE("only a write that expects the newest revision is applied",
          "[store]") {
  StoreFixture fixture;
  CHECK(fixture.Read() == StoredTable{});
  const auto first = fixture.Write(0, 1);
  REQUIRE(first.status == WriteStatus::kApplied);
  CHECK(fixture.Write(0, 2).status == WriteStatus::kConflict);
  const auto second = fixture.Write(first.revision, 3);
  REQUIRE(second.status == WriteStatus::kApplied);
  CHECK(second.revision > first.revision);
  CHECK(fixture.Write(first.revision, 4).status == WriteStatus::kConflict);
  const auto read = fixture.Read();
  REQUIRE(read);
  CHECK(read->revision == second.revision);
  CHECK(read->table.generation == 3);
}

TEST_CASE("table and configuration are separate values", "[store]") {
  StoreFixture fixture;
  CellConfig config;
  config.version = 1;
  config.teams["north"] = {4, 2};
  const auto written = fixture.Await<WriteResult>([&](auto done) {
    fixture.store().write_config(0, config, std::move(done));
  });
  REQUIRE(written.status == WriteStatus::kApplied);
  CHECK(fixture.Read() == StoredTable{});
  const auto read = fixture.Await<std::optional<StoredConfig>>(
      [&](auto done) { fixture.store().read_config(std::move(done)); });
  CHECK(read == StoredConfig{written.revision, config});
  const auto seen = fixture.Await<std::optional<StoredConfig>>(
      [&](auto done) { fixture.store().watch_config(0, std::move(done)); });
  CHECK(seen == read);
}

// Guards against reporting a write that has been applied, or may still be, as
// not applied, and against treating a failed read as an empty store.
TEST_CASE("each fault of the store maps to the status that it proves",
          "[store]") {
  struct Row {
    const char* name;
    // Fault settings sent to the stand-in; empty if a signal is sent instead.
    const char* faults;
    int signal;
    WriteStatus write;
    bool can_read;
    // Generation in the store after the fault; 0 if the store is gone.
    std::uint64_t generation;
  };
  const auto row = GENERATE(values<Row>(
      {{"up", kNoFaults, 0, WriteStatus::kApplied, true, 2},
       {"down", R"({"mode": "down"})", 0, WriteStatus::kNotApplied, false, 1},
       {"slow within the timeout", R"({"mode": "slow", "delay_ms": 50})", 0,
        WriteStatus::kApplied, true, 2},
       // The write is applied after the client's timeout.
       {"slow beyond the timeout", R"({"mode": "slow", "delay_ms": 500})", 0,
        WriteStatus::kUndecided, false, 2},
       {"lost answers", R"({"mode": "lose_answers", "delay_ms": 60000})", 0,
        WriteStatus::kUndecided, true, 2},
       {"killed", "", SIGKILL, WriteStatus::kNotApplied, false, 0},
       // The write is applied when the process resumes.
       {"frozen", "", SIGSTOP, WriteStatus::kUndecided, false, 2}}));
  CAPTURE(row.name);
  StoreFixture fixture;
  const auto first = fixture.Write(0, 1);
  REQUIRE(first.status == WriteStatus::kApplied);
  if (row.signal == SIGKILL) {
    fixture.process().Kill();
  } else if (row.signal != 0) {
    fixture.process().Signal(row.signal);
  } else {
    fixture.SetFaults(row.faults);
  }

  const auto written = fixture.Write(first.revision, 2);
  CHECK(static_cast<int>(written.status) == static_cast<int>(row.write));
  CHECK((written.revision != 0) == (row.write == WriteStatus::kApplied));
  CHECK(fixture.report().empty() == (row.write == WriteStatus::kApplied));
  CHECK(fixture.Read().has_value() == row.can_read);

  if (row.generation == 0) return;
  fixture.process().Signal(SIGCONT);
  fixture.SetFaults(kNoFaults);
  std::optional<StoredTable> after;
  const auto end = Clock::now() + kTestTimeout;
  while (Clock::now() < end) {
    after = fixture.Read();
    if (after && after->table.generation == row.generation) break;
    fixture.RunForPollInterval();
  }
  REQUIRE(after);
  CHECK(after->table.generation == row.generation);
  // The stand-in would count an automatic retry of the write as another write.
  CHECK(fixture.Count("writes") ==
        (row.write == WriteStatus::kNotApplied ? 1 : 2));
}

// Guards against entries that miss a takeover or a configuration change, and
// against polling, which would make the store's load grow with the time waited.
TEST_CASE("a watch reports a newer value in one call", "[store]") {
  StoreFixture fixture;
  const auto first = fixture.Write(0, 1);
  CHECK(fixture.Watch(0)->table.generation == 1);

  std::optional<StoredTable> seen;
  fixture.store().watch_table(first.revision,
                              [&](auto value) { seen = value; });
  fixture.Write(first.revision, 2);
  const auto end = Clock::now() + kTestTimeout;
  while (!seen && Clock::now() < end) {
    fixture.loop().restart();
    fixture.loop().run_one_for(kTestTimeout);
  }
  REQUIRE(seen);
  CHECK(seen->table.generation == 2);
  CHECK(fixture.Count("watches") == 2);
  CHECK_FALSE(fixture.Watch(seen->revision).has_value());
  CHECK(fixture.report().empty());
  CHECK(fixture.Count("watches") == 3);
}

// Guards against a watch that misses a change because the store has compacted
// its history, and against one that fails forever because its value has not
// changed for longer than the store keeps history.
TEST_CASE("a watch continues after the store has compacted its history",
          "[store]") {
  StoreFixture fixture;
  const auto first = fixture.Write(0, 1);
  const bool changed = GENERATE(false, true);
  CAPTURE(changed);
  if (changed) fixture.Write(first.revision, 2);
  fixture.SetFaults(R"({"mode": "up", "forget": true})");
  const auto seen = fixture.Watch(first.revision);
  CHECK(seen.has_value() == changed);
  if (changed) CHECK(seen->table.generation == 2);
  // The next watch waits for a change instead of failing at once.
  const auto started = Clock::now();
  CHECK_FALSE(
      fixture.Watch(changed ? seen->revision : first.revision).has_value());
  CHECK(Clock::now() - started >= milliseconds(300));
  CHECK(fixture.report().empty());
}

// Guards against a busy loop of calls when an entry repeats a failed watch at
// once.
TEST_CASE("a failed watch calls back after the delay", "[store]") {
  const auto* fault = GENERATE(as<const char*>(), "down", "killed");
  CAPTURE(fault);
  StoreFixture fixture;
  if (fault == std::string("down")) {
    fixture.SetFaults(R"({"mode": "down"})");
  } else {
    fixture.process().Kill();
  }
  const auto started = Clock::now();
  CHECK_FALSE(fixture.Watch(0).has_value());
  CHECK(Clock::now() - started >= milliseconds(200));
  CHECK_FALSE(fixture.report().empty());
}

TEST_CASE("a watch ends when the store goes down", "[store]") {
  StoreFixture fixture;
  bool ended = false;
  fixture.store().watch_table(0, [&](const auto& value) {
    CHECK_FALSE(value.has_value());
    ended = true;
  });
  const auto end = Clock::now() + kTestTimeout;
  while (fixture.Count("waiting_watches") == 0) {
    REQUIRE(Clock::now() < end);
    fixture.RunForPollInterval();
  }
  fixture.SetFaults(R"({"mode": "down"})");
  while (!ended && Clock::now() < end) {
    fixture.loop().restart();
    fixture.loop().run_one_for(kTestTimeout);
  }
  CHECK(ended);
}

// Guards against a write that stays undecided forever because the store rejects
// values of this size.
TEST_CASE("a value above 1 MB is not sent", "[store]") {
  StoreFixture fixture;
  CellConfig config;
  config.drained_minions.emplace_back(kMaxStoreValueBytes, 'x');
  const auto written = fixture.Await<WriteResult>([&](auto done) {
    fixture.store().write_config(0, config, std::move(done));
  });
  CHECK(written.status == WriteStatus::kNotApplied);
  CHECK_THAT(fixture.report(), Catch::Contains("remove entries"));
  CHECK(fixture.Count("writes") == 0);
  const auto raw =
      fixture.PutItem("k", std::string(2 * kMaxStoreValueBytes, 'x'), 0);
  CHECK(raw.status == 400);
}

// Guards against callbacks into an object that has already been destroyed.
TEST_CASE("no callback comes after the store is dropped", "[store]") {
  StoreFixture fixture;
  int calls = 0;
  fixture.store().read_table([&](const auto&) { ++calls; });
  fixture.store().watch_table(0, [&](const auto&) { ++calls; });
  fixture.store().write_table(0, {}, [&](const auto&) { ++calls; });
  fixture.DropStore();
  fixture.loop().restart();
  fixture.loop().run_for(milliseconds(500));
  CHECK(calls == 0);
}

// Guards against a stand-in whose leases never expire, which would hide faults
// of lease holders that were suspended.
TEST_CASE("an expired lease erases its values", "[store]") {
  StoreFixture fixture;
  const auto granted = fixture.Http("POST", "/-/kv-lease", R"({"ttl_ms":150})");
  REQUIRE(granted.status == 200);
  const std::uint64_t id = nlohmann::json::parse(granted.body)["lease"];
  const std::string keep = "/-/kv-keep/" + std::to_string(id);
  REQUIRE(fixture.PutItem("k", "MQ==", id).status == 200);
  CHECK(fixture.Http("POST", keep, "{}").status == 200);
  const auto end = Clock::now() + kTestTimeout;
  int status = 200;
  while (status == 200 && Clock::now() < end) {
    fixture.RunForPollInterval();
    status = fixture.Http("GET", "/-/kv-key?key=k", "").status;
  }
  CHECK(status == 404);
  CHECK(fixture.Http("POST", keep, "{}").status == 404);
  CHECK(fixture.process().Stop() == 0);
}

}  // namespace dottereltrack
