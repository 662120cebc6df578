#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "dottereltrack/http_client.h"
#include "support/child_process.h"

namespace dottereltrack {
namespace {

using testing::ChildProcess;

HttpCall TaskCall(const ChildProcess& endpoint, int task,
                  const std::string& payload) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(endpoint.port()) + "/run";
  call.headers = {{"X-Dottereltrack-Submission", "s1"},
                  {"X-Dottereltrack-Task", std::to_string(task)}};
  call.body = payload;
  call.timeout = std::chrono::milliseconds(10'000);
  call.use_fresh_connection = true;
  return call;
}

HttpResult Await(asio::io_context& loop, const HttpCall& call) {
  HttpClient http(loop);
  std::optional<HttpResult> result;
  http.Start(call, [&](HttpResult r) { result = std::move(r); });
  loop.restart();
  // Runs single handlers, because other calls on the loop may take longer.
  while (!result) loop.run_one();
  return *result;
}

nlohmann::json Counts(asio::io_context& loop, const ChildProcess& endpoint) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(endpoint.port()) + "/counts";
  return nlohmann::json::parse(Await(loop, call).body);
}

}  // namespace

// Guards against a stand-in that hides faults of the system under test: answers
// that are the same for different tasks, or failures reported as success.
TEST_CASE("the endpoint's stand-in answers as its mode says", "[standin]") {
  struct Row {
    const char* mode;
    HttpEnd end;
    int status;
    const char* body;
  };
  const auto row = GENERATE(values<Row>(
      {{"succeed", HttpEnd::kAnswered, 200, "result of 5 abc"},
       {"fail", HttpEnd::kAnswered, 500, "the minion fails every task"},
       {"drop", HttpEnd::kTransportError, 0, ""}}));
  CAPTURE(row.mode);
  ChildProcess endpoint({STANDIN_ENDPOINT_PATH, "--mode", row.mode});
  REQUIRE(endpoint.port() != 0);
  asio::io_context loop;
  const auto result = Await(loop, TaskCall(endpoint, 3, "5 abc"));
  CHECK(ToString(result.end) == std::string(ToString(row.end)));
  CHECK(result.status == row.status);
  CHECK(result.body == row.body);
  CHECK(Counts(loop, endpoint)["starts"]["s1/3"] == 1);
}

// Guards against wrong start counts, which would hide double starts from the
// end-to-end tests.
TEST_CASE("the endpoint's stand-in counts each start of a task", "[standin]") {
  ChildProcess endpoint({STANDIN_ENDPOINT_PATH, "--speed", "0.5"});
  REQUIRE(endpoint.port() != 0);
  asio::io_context loop;
  HttpClient http(loop);
  int answers = 0;
  for (const int task : {1, 2, 2}) {
    http.Start(TaskCall(endpoint, task, "400 x"), [&](const HttpResult& r) {
      answers += r.status == 200 ? 1 : 0;
    });
  }
  loop.run();
  CHECK(answers == 3);
  const auto counts = Counts(loop, endpoint);
  CHECK(counts["starts"]["s1/1"] == 1);
  CHECK(counts["starts"]["s1/2"] == 2);
  // Tasks run concurrently, each on its own timer.
  CHECK(counts["most_running"] == 3);
}

// Guards against a stand-in that aborts its tasks on shutdown, which would look
// like a fault of the system under test.
TEST_CASE("a stopping stand-in finishes its tasks", "[standin]") {
  ChildProcess endpoint({STANDIN_ENDPOINT_PATH});
  REQUIRE(endpoint.port() != 0);
  asio::io_context loop;
  HttpClient http(loop);
  std::string body;
  http.Start(TaskCall(endpoint, 1, "400 x"),
             [&](HttpResult r) { body = std::move(r.body); });
  while (Counts(loop, endpoint)["running"] != 1) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(endpoint.Stop() == 0);
  loop.restart();
  loop.run();
  CHECK(body == "result of 400 x");
}

}  // namespace dottereltrack
