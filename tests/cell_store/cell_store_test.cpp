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
constexpr milliseconds kHangLimit{20'000};

// Runs the store's stand-in as a child process, with a client on the test's
// event loop.
class StoreRig {
 public:
  StoreRig() : process_({STANDIN_STORE_PATH}), http_(loop_) {
    REQUIRE(process_.port() != 0);
    settings_.address = {"127.0.0.1", process_.port()};
    settings_.cell = "test";
    settings_.timeout = milliseconds(300);
    settings_.watch_wait = milliseconds(300);
    settings_.failed_watch_delay = milliseconds(200);
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
  void Pause() {
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
    const auto end = Clock::now() + kHangLimit;
    loop_.restart();
    while (!result && Clock::now() < end) loop_.run_one_for(kHangLimit);
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
  HttpResult Put(const std::string& key, const std::string& value,
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

const char* const kUp = R"({"mode": "up"})";

}  // namespace

// Guards against two concurrent writes that both succeed, which would result in
// two dispatchers.
TEST_CASE("only a write that expects the newest revision is applied",
          "[store]") {
  StoreRig rig;
  CHECK(rig.Read() == StoredTable{});
  const auto first = rig.Write(0, 1);
  REQUIRE(first.status == WriteStatus::kApplied);
  CHECK(rig.Write(0, 2).status == WriteStatus::kConflict);
  const auto second = rig.Write(first.revision, 3);
  REQUIRE(second.status == WriteStatus::kApplied);
  CHECK(second.revision > first.revision);
  CHECK(rig.Write(first.revision, 4).status == WriteStatus::kConflict);
  const auto read = rig.Read();
  REQUIRE(read);
  CHECK(read->revision == second.revision);
  CHECK(read->table.generation == 3);
}

TEST_CASE("table and configuration are separate values", "[store]") {
  StoreRig rig;
  CellConfig config;
  config.version = 1;
  config.teams["north"] = {4, 2};
  const auto written = rig.Await<WriteResult>(
      [&](auto done) { rig.store().write_config(0, config, std::move(done)); });
  REQUIRE(written.status == WriteStatus::kApplied);
  CHECK(rig.Read() == StoredTable{});
  const auto read = rig.Await<std::optional<StoredConfig>>(
      [&](auto done) { rig.store().read_config(std::move(done)); });
  CHECK(read == StoredConfig{written.revision, config});
  const auto seen = rig.Await<std::optional<StoredConfig>>(
      [&](auto done) { rig.store().watch_config(0, std::move(done)); });
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
      {{"up", kUp, 0, WriteStatus::kApplied, true, 2},
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
  StoreRig rig;
  const auto first = rig.Write(0, 1);
  REQUIRE(first.status == WriteStatus::kApplied);
  if (row.signal == SIGKILL) {
    rig.process().Kill();
  } else if (row.signal != 0) {
    rig.process().Signal(row.signal);
  } else {
    rig.SetFaults(row.faults);
  }

  const auto written = rig.Write(first.revision, 2);
  CHECK(static_cast<int>(written.status) == static_cast<int>(row.write));
  CHECK((written.revision != 0) == (row.write == WriteStatus::kApplied));
  CHECK(rig.report().empty() == (row.write == WriteStatus::kApplied));
  CHECK(rig.Read().has_value() == row.can_read);

  if (row.generation == 0) return;
  rig.process().Signal(SIGCONT);
  rig.SetFaults(kUp);
  std::optional<StoredTable> after;
  const auto end = Clock::now() + kHangLimit;
  while (Clock::now() < end) {
    after = rig.Read();
    if (after && after->table.generation == row.generation) break;
    rig.Pause();
  }
  REQUIRE(after);
  CHECK(after->table.generation == row.generation);
  // The stand-in would count an automatic retry of the write as another write.
  CHECK(rig.Count("writes") == (row.write == WriteStatus::kNotApplied ? 1 : 2));
}

// Guards against entries that miss a takeover or a configuration change, and
// against polling, which would make the store's load grow with the time waited.
TEST_CASE("a watch reports a newer value in one call", "[store]") {
  StoreRig rig;
  const auto first = rig.Write(0, 1);
  CHECK(rig.Watch(0)->table.generation == 1);

  std::optional<StoredTable> seen;
  rig.store().watch_table(first.revision, [&](auto value) { seen = value; });
  rig.Write(first.revision, 2);
  const auto end = Clock::now() + kHangLimit;
  while (!seen && Clock::now() < end) {
    rig.loop().restart();
    rig.loop().run_one_for(kHangLimit);
  }
  REQUIRE(seen);
  CHECK(seen->table.generation == 2);
  CHECK(rig.Count("watches") == 2);
  CHECK_FALSE(rig.Watch(seen->revision).has_value());
  CHECK(rig.report().empty());
  CHECK(rig.Count("watches") == 3);
}

// Guards against a watch that misses a change because the store has compacted
// its history, and against one that fails forever because its value has not
// changed for longer than the store keeps history.
TEST_CASE("a watch continues after the store has compacted its history",
          "[store]") {
  StoreRig rig;
  const auto first = rig.Write(0, 1);
  const bool changed = GENERATE(false, true);
  CAPTURE(changed);
  if (changed) rig.Write(first.revision, 2);
  rig.SetFaults(R"({"mode": "up", "forget": true})");
  const auto seen = rig.Watch(first.revision);
  CHECK(seen.has_value() == changed);
  if (changed) CHECK(seen->table.generation == 2);
  // The next watch waits for a change instead of failing at once.
  const auto started = Clock::now();
  CHECK_FALSE(rig.Watch(changed ? seen->revision : first.revision).has_value());
  CHECK(Clock::now() - started >= milliseconds(300));
  CHECK(rig.report().empty());
}

// Guards against a busy loop of calls when an entry repeats a failed watch at
// once.
TEST_CASE("a failed watch calls back after the delay", "[store]") {
  const auto* fault = GENERATE(as<const char*>(), "down", "killed");
  CAPTURE(fault);
  StoreRig rig;
  if (fault == std::string("down")) {
    rig.SetFaults(R"({"mode": "down"})");
  } else {
    rig.process().Kill();
  }
  const auto started = Clock::now();
  CHECK_FALSE(rig.Watch(0).has_value());
  CHECK(Clock::now() - started >= milliseconds(200));
  CHECK_FALSE(rig.report().empty());
}

TEST_CASE("a watch ends when the store goes down", "[store]") {
  StoreRig rig;
  bool ended = false;
  rig.store().watch_table(0, [&](const auto& value) {
    CHECK_FALSE(value.has_value());
    ended = true;
  });
  const auto end = Clock::now() + kHangLimit;
  while (rig.Count("waiting_watches") == 0) {
    REQUIRE(Clock::now() < end);
    rig.Pause();
  }
  rig.SetFaults(R"({"mode": "down"})");
  while (!ended && Clock::now() < end) {
    rig.loop().restart();
    rig.loop().run_one_for(kHangLimit);
  }
  CHECK(ended);
}

// Guards against a write that stays undecided forever because the store rejects
// values of this size.
TEST_CASE("a value above 1 MB is not sent", "[store]") {
  StoreRig rig;
  CellConfig config;
  config.drained_minions.emplace_back(kMaxStoreValueBytes, 'x');
  const auto written = rig.Await<WriteResult>(
      [&](auto done) { rig.store().write_config(0, config, std::move(done)); });
  CHECK(written.status == WriteStatus::kNotApplied);
  CHECK_THAT(rig.report(), Catch::Contains("remove entries"));
  CHECK(rig.Count("writes") == 0);
  const auto raw = rig.Put("k", std::string(2 * kMaxStoreValueBytes, 'x'), 0);
  CHECK(raw.status == 400);
}

// Guards against callbacks into an object that has already been destroyed.
TEST_CASE("no callback comes after the store is dropped", "[store]") {
  StoreRig rig;
  int calls = 0;
  rig.store().read_table([&](const auto&) { ++calls; });
  rig.store().watch_table(0, [&](const auto&) { ++calls; });
  rig.store().write_table(0, {}, [&](const auto&) { ++calls; });
  rig.DropStore();
  rig.loop().restart();
  rig.loop().run_for(milliseconds(500));
  CHECK(calls == 0);
}

// Guards against a stand-in whose leases never expire, which would hide faults
// of lease holders that were suspended.
TEST_CASE("an expired lease erases its values", "[store]") {
  StoreRig rig;
  const auto granted = rig.Http("POST", "/-/kv-lease", R"({"ttl_ms":150})");
  REQUIRE(granted.status == 200);
  const std::uint64_t id = nlohmann::json::parse(granted.body)["lease"];
  const std::string keep = "/-/kv-keep/" + std::to_string(id);
  REQUIRE(rig.Put("k", "MQ==", id).status == 200);
  CHECK(rig.Http("POST", keep, "{}").status == 200);
  const auto end = Clock::now() + kHangLimit;
  int status = 200;
  while (status == 200 && Clock::now() < end) {
    rig.Pause();
    status = rig.Http("GET", "/-/kv-key?key=k", "").status;
  }
  CHECK(status == 404);
  CHECK(rig.Http("POST", keep, "{}").status == 404);
  CHECK(rig.process().Stop() == 0);
}

}  // namespace dottereltrack
