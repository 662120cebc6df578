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

// Limit against hanging; no test depends on its length.
constexpr milliseconds kHangLimit{20'000};

// The stand-in as a child process with a client on a loop of the test.
class StoreRig {
 public:
  StoreRig() : process_({STANDIN_STORE_PATH}), http_(loop_) {
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
  // Time between two looks at something that needs time.
  void Pause() {
    asio::steady_timer timer(loop_, milliseconds(20));
    bool over = false;
    timer.async_wait([&](const std::error_code&) { over = true; });
    loop_.restart();
    while (!over) loop_.run_one();
  }

  // Runs the loop until the callback given to `call` has been called.
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
  // Writes an item past the client.
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

// Guards against two writers that both believe that they have won, which would
// make two dispatchers.
TEST_CASE("only the writer with the newest revision wins", "[store]") {
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

// Guards against a write that has taken effect, or may yet, being reported as
// not applied, and against a failed read being taken for an empty store.
TEST_CASE("each fault of the store is reported as what it proves", "[store]") {
  struct Row {
    const char* name;
    // Sent to the stand-in; empty for a signal.
    const char* faults;
    int signal;
    WriteStatus write;
    bool can_read;
    // Generation in the store after the fault; 0 if it is gone.
    std::uint64_t generation;
  };
  const auto row = GENERATE(values<Row>(
      {{"up", kUp, 0, WriteStatus::kApplied, true, 2},
       {"down", R"({"mode": "down"})", 0, WriteStatus::kNotApplied, false, 1},
       {"slow within the timeout", R"({"mode": "slow", "delay_ms": 50})", 0,
        WriteStatus::kApplied, true, 2},
       // The write takes effect after the client has given it up.
       {"slow beyond the timeout", R"({"mode": "slow", "delay_ms": 500})", 0,
        WriteStatus::kUndecided, false, 2},
       {"lost answers", R"({"mode": "lose_answers", "delay_ms": 60000})", 0,
        WriteStatus::kUndecided, true, 2},
       {"killed", "", SIGKILL, WriteStatus::kNotApplied, false, 0},
       // The write takes effect when the process goes on.
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
  // A write that is sent again by itself would be counted twice.
  CHECK(rig.Count("writes") == (row.write == WriteStatus::kNotApplied ? 1 : 2));
}

// Guards against entries that miss a takeover or a configuration change, and
// against a load on the store that grows with the time waited.
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

// Guards against a watch that misses a change because the store has dropped the
// history, and against one that fails for ever since its value has not changed
// for longer than the store keeps history.
TEST_CASE("a watch goes on after the history was dropped", "[store]") {
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

// Guards against a loop of calls when an entry repeats a failed watch at once.
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

// Guards against a value that the store would refuse being undecided for ever.
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

// Guards against callbacks into a part of the process that is already gone.
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

// Guards against a stand-in whose leases never end, which would hide faults of
// holders that were paused.
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
