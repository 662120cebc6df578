#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "api/metrics.h"
#include "api/state_json.h"
#include "api/status_json.h"

namespace dottereltrack {
namespace {

// Returns a board with three jobs, one agent, and marked keys, payloads and
// results that no view may expose.
EntryBoard MakeBoard() {
  EntryBoard board;
  board.settings.id = {1};
  SubmitRequest request;
  request.team = "north";
  request.key = "secret-key";
  request.tasks = {{std::string("secret-payload"), milliseconds{1}, {}}};
  for (const char* key : {"k1", "k2", "k3"}) {
    Job job;
    job.id = MakeSubmissionId("north", key);
    job.body = request;
    board.jobs.Put(job);
    Task task;
    task.id = {job.id, 0};
    task.state = TaskState::kFinal;
    task.outcome = Done{std::string("secret-result")};
    board.tasks.Put(task);
  }
  AgentRow agent;
  agent.id = {7};
  agent.minion.name = "m1";
  agent.minion.labels = {{"arch", "arm"}, {"zone", "a"}};
  board.agents.Put(agent);
  board.stored_config.config.label_overrides["m1"]["zone"] = "b";
  board.stored_config.config.drained_minions = {"m1"};
  board.counters[static_cast<std::size_t>(Counter::kStartsSent)] = 5;
  return board;
}

}  // namespace

// Guards against a state dump that grows with the board or exposes callers'
// data.
TEST_CASE("the state dump is bounded and omits payloads", "[api]") {
  const ApiReply reply = RenderState(MakeBoard(), 2);
  const auto state = nlohmann::json::parse(reply.body);
  CHECK(state["jobs"]["size"] == 3);
  CHECK(state["jobs"]["rows"].size() == 2);
  CHECK(state["tasks"]["rows"][0]["outcome"] == "done");
  CHECK(state["counters"]["starts_sent"] == 5);
  CHECK(reply.body.find("secret") == std::string::npos);
  CHECK(reply.body == RenderState(MakeBoard(), 2).body);
}

// Guards against a status that ignores label overrides set by an operator.
TEST_CASE("the status shows labels with overrides applied", "[api]") {
  const auto status =
      nlohmann::json::parse(RenderStatus(MakeBoard(), Now{}).body);
  const auto& agent = status["agents"][0];
  CHECK(agent["agent"] == "0000000000000007");
  CHECK(agent["labels"] == nlohmann::json{{"arch", "arm"}, {"zone", "b"}});
  CHECK(agent["draining"] == true);
  CHECK(status["open_jobs"] == 3);
}

// Guards against load balancers routing callers to an entry that is shutting
// down.
TEST_CASE("the health check fails while the entry stops", "[api]") {
  EntryBoard board;
  CHECK(RenderHealth(board).status == 200);
  board.stopping = true;
  CHECK(RenderHealth(board).status == 503);
}

// Guards against counters and histograms that are not exported.
TEST_CASE("metrics include counters and latency histograms", "[api]") {
  EntryMetrics metrics;
  metrics.Observe(LatencyKind::kStartDelay, milliseconds{3});
  const ApiReply reply = metrics.Render(MakeBoard(), Now{});
  const auto* line = GENERATE(values<const char*>(
      {"dottereltrack_entry_starts_sent_total 5\n",
       "dottereltrack_entry_agents 1\n",
       "dottereltrack_entry_start_delay_seconds_bucket{le=\"0.002\"} 0\n",
       "dottereltrack_entry_start_delay_seconds_bucket{le=\"0.005\"} 1\n"}));
  CAPTURE(line);
  CHECK(reply.body.find(line) != std::string::npos);
}

}  // namespace dottereltrack
