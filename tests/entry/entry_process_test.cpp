#include "apps/entry/entry_process.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>

#include "dottereltrack/http_client.h"
#include "platform/cell_store.h"
#include "support/child_process.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Fails a test that hangs; no test depends on its exact value.
constexpr milliseconds kHangLimit{20'000};

EntryDaemonSettings MakeTestSettings(std::uint16_t store_port) {
  EntryDaemonSettings settings;
  settings.http_listen = {"127.0.0.1", 0};
  settings.link_listen = {"127.0.0.1", 0};
  settings.cell = "test";
  settings.store_address = {"127.0.0.1", store_port};
  settings.operator_token = "secret";
  settings.core.id = {7};
  settings.core.data_centre = "kgn-a";
  settings.core.no_minion_grace = milliseconds{100};
  return settings;
}

Store MakeStore(asio::io_context& loop, const EntryDaemonSettings& settings) {
  users_platform::CellStoreSettings store;
  store.address = settings.store_address;
  store.cell = settings.cell;
  return users_platform::MakeCellStore(loop, store, {});
}

// Runs one entry, against the stand-in of the store, and an HTTP client on the
// same event loop.
class EntryProcessFixture {
 public:
  EntryProcessFixture()
      : standin_({STANDIN_STORE_PATH}),
        settings_(MakeTestSettings(standin_.port())),
        entry_(loop_, settings_),
        client_(loop_) {
    LogSettings log;
    log.level = LogLevel::kOff;
    ConfigureLog(log);
    REQUIRE(standin_.port() != 0);
    REQUIRE(entry_.Start(MakeStore(loop_, settings_)));
  }

  asio::io_context& loop() { return loop_; }
  std::uint16_t port() const { return entry_.http_port(); }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    asio::steady_timer limit(loop_, kHangLimit);
    bool expired = false;
    limit.async_wait([&](const asio::error_code& ec) {
      if (!ec) expired = true;
    });
    while (!condition() && !expired && !loop_.stopped()) loop_.run_one();
    return condition();
  }

  // Runs until the entry has stopped the loop.
  bool RunUntilStopped() {
    RunUntil([&] { return loop_.stopped(); });
    return loop_.stopped();
  }

  // Starts a call. The returned result is set when the call ends.
  std::shared_ptr<std::optional<HttpResult>> StartCall(
      const std::string& method, const std::string& path,
      const std::string& body) {
    HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(port()) + path;
    call.body = body;
    call.headers = {{"Authorization", "Bearer secret"}};
    call.timeout = kHangLimit;
    auto result = std::make_shared<std::optional<HttpResult>>();
    client_.Start(call, [result](HttpResult ended) { *result = ended; });
    return result;
  }

  HttpResult Await(const std::shared_ptr<std::optional<HttpResult>>& result) {
    REQUIRE(RunUntil([&] { return result->has_value(); }));
    return **result;
  }

  HttpResult Call(const std::string& method, const std::string& path,
                  const std::string& body = "") {
    return Await(StartCall(method, path, body));
  }

  json FetchState() { return json::parse(Call("GET", "/debug/state").body); }

  void AwaitRole(const std::string& role) {
    while (FetchState()["authority"]["role"] != role) {
    }
  }

 private:
  testing::ChildProcess standin_;
  asio::io_context loop_;
  EntryDaemonSettings settings_;
  EntryProcess entry_;
  HttpClient client_;
};

const char* const kJob = R"({"team":"north","key":"k1","tasks":[{},{}]})";

}  // namespace

// Guards against a startup that depends on anything but the store.
TEST_CASE("the first entry of a cell becomes its dispatcher", "[entry]") {
  EntryProcessFixture fixture;
  fixture.AwaitRole("dispatcher");
  const json status = json::parse(fixture.Call("GET", "/v1/status").body);
  CHECK(status["table"]["generation"] == 1);
  CHECK(status["table"]["dispatcher"] == "0000000000000007");
  CHECK(fixture.Call("GET", "/healthz").status == 200);
}

// Guards against calls that hang or receive the reply of another call.
TEST_CASE("each call receives its own reply", "[entry]") {
  EntryProcessFixture fixture;
  fixture.AwaitRole("dispatcher");
  struct Row {
    const char* method;
    std::string path;
    const char* body;
    int status;
    const char* expected_body;
  };
  const std::string id = ToHex(MakeSubmissionId("north", "k1"));
  const auto row = GENERATE_COPY(values<Row>({
      {"POST", "/v1/jobs", "{}", 400, "'team' is missing"},
      {"POST", "/v1/jobs", R"({"team":"north","tasks":[]})", 400,
       "the job has no tasks"},
      {"GET", "/v1/jobs/" + id, "", 404, "not_found"},
      {"DELETE", "/v1/jobs/" + id, "", 404, "not_found"},
      {"PUT", "/v1/config",
       R"({"expected_version":3,"teams":{},"label_overrides":{},
           "drained_minions":[]})",
       409, "version_conflict"},
      {"PUT", "/v1/config",
       R"({"expected_version":0,"teams":{},"label_overrides":{},
           "drained_minions":["m1"]})",
       200, "\"version\":1"},
      {"GET", "/metrics", "", 200, "dottereltrack_entry_is_dispatcher 1"},
      {"PUT", "/v1/log-level", R"({"part":"http","level":"error"})", 200, "{}"},
      {"PUT", "/v1/log-level", R"({"part":"http","level":"loud"})", 400,
       "no such part or level"},
      {"PUT", "/v1/log-level", R"({"part":"http"})", 400, "'level' is missing"},
      {"GET", "/nowhere", "", 404, "no such path"},
  }));
  CAPTURE(row.method, row.path, row.body);
  const HttpResult result = fixture.Call(row.method, row.path, row.body);
  CHECK(result.status == row.status);
  CHECK_THAT(result.body, Catch::Contains(row.expected_body));
}

// Guards against a job that is never answered because there are no minions, and
// against the outcome not_run. No agent would have recorded that outcome, so a
// later dispatcher could start the tasks after all.
TEST_CASE("tasks of a job in a cell without agents end as unknown", "[entry]") {
  EntryProcessFixture fixture;
  fixture.AwaitRole("dispatcher");
  const HttpResult result = fixture.Call("POST", "/v1/jobs", kJob);
  const json answer = json::parse(result.body);
  CHECK(result.status == 200);
  CHECK(answer["key"] == "k1");
  CHECK(answer["complete"] == false);
  CHECK(answer["failure"] == "no_eligible_minion");
  REQUIRE(answer["tasks"].size() == 2);
  CHECK(answer["tasks"][1]["state"] == "unknown");
  const std::string path = "/v1/jobs/" + answer["id"].get<std::string>();
  CHECK(json::parse(fixture.Call("GET", path).body)["tasks"] ==
        answer["tasks"]);
}

// Guards against calls that stay open after their caller has disconnected,
// which would prevent a stopping entry from exiting.
TEST_CASE("a call is closed when its caller disconnects", "[entry]") {
  EntryProcessFixture fixture;
  asio::ip::tcp::socket socket(fixture.loop());
  socket.connect({asio::ip::make_address("127.0.0.1"), fixture.port()});
  const std::string body = kJob;
  asio::write(socket,
              asio::buffer("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body));
  while (fixture.FetchState()["calls"]["size"] == 0) {
  }
  socket.close();
  while (fixture.FetchState()["calls"]["size"] != 0) {
  }
}

// Guards against a shutdown that drops pending answers or never completes, and
// against a load balancer that keeps sending callers to a stopping entry.
TEST_CASE("a stopping entry answers its callers and exits", "[entry]") {
  EntryProcessFixture fixture;
  fixture.AwaitRole("dispatcher");
  const auto job = fixture.StartCall("POST", "/v1/jobs", kJob);
  while (fixture.FetchState()["jobs"]["size"] == 0) {
  }
  std::raise(SIGTERM);
  while (!fixture.FetchState()["stopping"].get<bool>()) {
  }
  CHECK(fixture.Call("GET", "/healthz").status == 503);
  CHECK(fixture.Await(job).status == 200);
  CHECK(fixture.RunUntilStopped());
}

// Guards against an entry that runs without listening on its callers' port.
TEST_CASE("startup fails if an address is in use", "[entry]") {
  EntryProcessFixture fixture;
  EntryDaemonSettings settings = MakeTestSettings(1);
  settings.http_listen.port = fixture.port();
  EntryProcess second(fixture.loop(), settings);
  CHECK_FALSE(second.Start(MakeStore(fixture.loop(), settings)));
}

}  // namespace dottereltrack
