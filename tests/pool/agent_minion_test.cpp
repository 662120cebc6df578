#include <algorithm>
#include <catch2/catch.hpp>

#include "core/pool/agent/capacity.h"
#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

void StartAndConfirm(AgentFixture* agent, const RunKey& run) {
  agent->Start(1, run);
  agent->Step({StartAnswered{run, CallAnswer::kAccepted}});
}

TEST_CASE("A minion report decides whether the minion accepts runs",
          "[pool][agent][minion]") {
  // Guards against starts on a draining minion, and against a delayed report
  // that makes a replaced instance available again.
  struct Row {
    const char* name;
    std::string id;
    std::uint64_t started_ms;
    std::uint64_t sequence;
    bool draining;
    std::string adopted;
    bool accepting;
  };
  const auto row = GENERATE(values<Row>({
      {"newer report", "m1", 1'000, 2, false, "m1", true},
      {"draining", "m1", 1'000, 2, true, "m1", false},
      {"delayed report", "m1", 1'000, 1, true, "m1", true},
      {"replacement", "m2", 2'000, 1, false, "m2", false},
      {"report of a former instance", "m0", 500, 9, false, "m1", true},
  }));
  CAPTURE(row.name);
  AgentFixture agent;
  MinionReport report = MakeMinionReport(row.id, row.started_ms, row.sequence);
  report.draining = row.draining;
  agent.Step({MinionReported{report}});
  CHECK(agent.board.minion->id == row.adopted);
  CHECK(IsAccepting(agent.board, agent.now) == row.accepting);
}

TEST_CASE("Starts follow the capacity that the minion last reported",
          "[pool][agent][limit]") {
  // Guards against starts that exceed a capacity that has shrunk while runs go
  // on, and against capacity that stays unused after it has grown again. A run
  // that is being stopped still counts.
  struct Row {
    const char* name;
    std::vector<int> capacities;
    int runs;
    bool stops_one;
    bool accepted;
    int free;
  };
  const auto row = GENERATE(values<Row>({
      {"unchanged", {4}, 3, false, true, 0},
      {"below the use", {2}, 3, false, false, -1},
      {"equal to the use", {3}, 3, false, false, 0},
      {"equal to the use, one is stopping", {3}, 3, true, false, 0},
      {"above the use", {3}, 2, false, true, 0},
      {"shrunk and grown", {1, 4}, 3, false, true, 0},
  }));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  for (int n = 0; n < row.runs; ++n) StartAndConfirm(&agent, MakeRunKey(n));
  std::uint64_t sequence = 1;
  for (const int tasks : row.capacities) {
    MinionReport report = MakeMinionReport("m1", 1'000, ++sequence);
    report.capacity = {tasks * kTaskNeeds.cpu_millis,
                       tasks * kTaskNeeds.memory_mb, 0};
    agent.Step({MinionReported{report}});
  }
  if (row.stops_one) {
    agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  }
  const auto effects = agent.Start(1, MakeRunKey(9));
  CHECK(SelectEffects<CallStart>(effects).size() == (row.accepted ? 1U : 0U));
  CHECK(SelectMessages<StartRefused>(effects).size() ==
        (row.accepted ? 0U : 1U));
  CHECK(FreeResources(agent.board).cpu_millis ==
        row.free * kTaskNeeds.cpu_millis);
}

TEST_CASE("A new instance accepts runs after the first poll",
          "[pool][agent][minion]") {
  // Guards against starts while runs of an earlier agent process still exist.
  AgentFixture agent;
  const auto effects =
      agent.Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
  REQUIRE(SelectEffects<CallPoll>(effects).size() == 1);
  CHECK_FALSE(IsAccepting(agent.board, agent.now));
  agent.AnswerPoll({}, {});
  CHECK(IsAccepting(agent.board, agent.now));
}

TEST_CASE("Runs that an earlier agent process has left are stopped first",
          "[pool][agent][limit]") {
  // Guards against exceeding the capacity because of runs with unknown needs.
  AgentFixture agent;
  agent.Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
  const auto effects = agent.AnswerPoll({{MakeRunKey(7), 50}}, {});
  CHECK(SelectEffects<CallStop>(effects).size() == 1);
  CHECK_FALSE(IsAccepting(agent.board, agent.now));
  agent.AnswerPoll({}, {{1, MakeRunKey(7), RunEnd::kStopped}});
  CHECK(IsAccepting(agent.board, agent.now));
}

TEST_CASE("A run that an earlier agent process has left gets no lease",
          "[pool][agent][twice]") {
  // Guards against a restarted agent that prolongs a run whose task its caller
  // may have submitted to another entry, while the minion refuses to stop it.
  const auto answer =
      GENERATE(values({CallAnswer::kUnanswered, CallAnswer::kUnavailable}));
  CAPTURE(static_cast<int>(answer));
  AgentFixture agent;
  agent.Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
  auto effects = agent.AnswerPoll({{MakeRunKey(7), 50}}, {});
  for (int n = 0; n < 3; ++n) {
    const auto polls = SelectEffects<CallPoll>(effects);
    REQUIRE(polls.size() == 1);
    CHECK_FALSE(polls[0].lease_ends_ms.has_value());
    agent.Step({StopAnswered{MakeRunKey(7), answer}});
    agent.now.boot += milliseconds{50};
    effects = agent.AnswerPoll({{MakeRunKey(7), 60}}, {});
  }
}

TEST_CASE(
    "A run that an earlier agent process has left is lost when its lease "
    "has lapsed, and not before",
    "[pool][agent][twice]") {
  // Guards against reporting to entries that nothing is left on the minion,
  // because one poll after the discovery has failed.
  const auto answer =
      GENERATE(values({CallAnswer::kUnanswered, CallAnswer::kUnavailable,
                       CallAnswer::kNotConnected}));
  CAPTURE(static_cast<int>(answer));
  AgentFixture agent;
  agent.Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
  agent.AnswerPoll({{MakeRunKey(7), 50}}, {});
  const BootTime lapses_at =
      agent.now.boot + agent.board.settings.max_lease_duration;
  const auto fail_polls_until = [&](BootTime until) {
    while (agent.now.boot < until) {
      if (agent.board.poll.in_flight) agent.FailPoll(answer);
      agent.now.boot =
          std::min<BootTime>(until, agent.now.boot + milliseconds{10});
      agent.Step({AgentTick{}});
    }
  };
  fail_polls_until(lapses_at - milliseconds{1});
  CHECK(agent.board.runs.Contains(MakeRunKey(7)));
  fail_polls_until(lapses_at + milliseconds{1});
  CHECK_FALSE(agent.board.runs.Contains(MakeRunKey(7)));
}

TEST_CASE("A poll renews the lease of the runs", "[pool][agent][lease]") {
  // Guards against leases that expire while the agent is alive.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  agent.now.boot += milliseconds{50};
  const auto polls =
      SelectEffects<CallPoll>(agent.AnswerPoll({{MakeRunKey(0), 30}}, {}));
  REQUIRE(polls.size() == 1);
  REQUIRE(polls[0].lease_ends_ms.has_value());
  const auto lease =
      static_cast<std::uint64_t>(agent.board.settings.lease.count());
  CHECK(*polls[0].lease_ends_ms == 50'000 + lease);
}

TEST_CASE(
    "The runs of an unresponsive minion are lost when their lease has expired, "
    "and not before",
    "[pool][agent][twice]") {
  // Guards against a second run elsewhere while the first one may still run.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  REQUIRE(agent.board.poll.in_flight);
  const BootTime sent_at = agent.board.poll.sent_at;
  agent.now.boot += milliseconds{90};
  agent.FailPoll(CallAnswer::kUnanswered);
  CHECK_FALSE(IsAccepting(agent.board, agent.now));
  // The second poll cannot connect, so it does not renew the lease.
  agent.now.boot += milliseconds{40};
  agent.FailPoll(CallAnswer::kNotConnected);
  const BootTime lease_expires_at =
      sent_at + agent.board.settings.max_lease_duration;
  agent.now.boot = lease_expires_at - milliseconds{1};
  CHECK(SelectMessages<RunEnded>(agent.Step({})).empty());
  if (agent.board.poll.in_flight) agent.FailPoll(CallAnswer::kNotConnected);
  agent.now.boot = lease_expires_at;
  const auto ended = SelectMessages<RunEnded>(agent.Step({}));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].second.end == RunEnd::kLost);
}

TEST_CASE(
    "A restart under the same id keeps only the runs that the minion lists",
    "[pool][agent][twice]") {
  // Guards against starting a task elsewhere although the restarted minion has
  // accepted its start, and against waiting for a run that does not exist.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  StartAndConfirm(&agent, MakeRunKey(1));
  agent.Step({MinionReported{MakeMinionReport("m1", 2'000, 1)}});
  CHECK(agent.board.poll.last_end_number == 0);
  agent.now.boot += milliseconds{5};
  agent.AnswerPoll({{MakeRunKey(1), 5}}, {});
  CHECK(agent.board.runs.Find(MakeRunKey(0))->phase == RunPhase::kStopping);
  CHECK(agent.board.runs.Find(MakeRunKey(1))->phase == RunPhase::kRunning);
}

TEST_CASE("A restart under the same id raises the fencing token",
          "[pool][agent][twice]") {
  // Guards against a start that was sent to the process before the restart and
  // arrives after the runs of that process were lost. Its lease may seem valid
  // on the new clock.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  const std::uint64_t before = agent.board.fencing_token;
  const auto effects =
      agent.Step({MinionReported{MakeMinionReport("m1", 2'000, 1)}});
  const auto polls = SelectEffects<CallPoll>(effects);
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].fencing_token > before);
}

TEST_CASE("A minion that fails most runs is suspended, then gets a trial run",
          "[pool][agent][health]") {
  // Guards against a failing minion that, being idle, attracts most tasks.
  struct Row {
    RunEnd end;
    bool accepting;
  };
  const auto row = GENERATE(values<Row>({{RunEnd::kDone, true},
                                         {RunEnd::kStopped, true},
                                         {RunEnd::kFailed, false}}));
  CAPTURE(ToString(row.end));
  AgentFixture agent;
  agent.AddEntry(1, 100);
  std::uint64_t number = 0;
  for (std::uint32_t n = 0; n < 3; ++n) {
    StartAndConfirm(&agent, MakeRunKey(n));
    agent.now.boot += milliseconds{10};
    agent.AnswerPoll({}, {{++number, MakeRunKey(n), row.end}});
  }
  CHECK(IsAccepting(agent.board, agent.now) == row.accepting);
  if (row.accepting) return;
  agent.AdvanceTime(agent.board.settings.first_suspension_duration);
  CHECK(IsAccepting(agent.board, agent.now));
  StartAndConfirm(&agent, MakeRunKey(9));
  // One run at a time until one has succeeded.
  CHECK_FALSE(IsAccepting(agent.board, agent.now));
  agent.now.boot += milliseconds{10};
  agent.AnswerPoll({}, {{++number, MakeRunKey(9), RunEnd::kDone}});
  CHECK(IsAccepting(agent.board, agent.now));
  CHECK_FALSE(agent.board.health.on_trial);
}

TEST_CASE("A change of the minion's speed shows before its runs end",
          "[pool][agent][health]") {
  // Pattern: minions that turn slow. Guards against entries that fill a slow
  // minion for as long as its runs take, and against reports that follow the
  // errors of single estimates.
  struct Row {
    const char* name;
    double average;
    int runs;
    int percent;
    double reported;
  };
  const auto row = GENERATE(values<Row>({
      {"eight times as slow", 0, 3, 12, 2},
      {"too few runs", 0, 2, 12, 0},
      {"no progress yet", 0, 4, 4, 0},
      {"within the error of estimates", 0, 4, 60, 0},
      {"as fast again", 2, 4, 100, 0},
      {"still slow", 2, 4, 14, 2},
  }));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.board.health.log_slowness = row.average;
  std::vector<ListedRun> running;
  for (int n = 0; n < row.runs; ++n) {
    StartAndConfirm(&agent, MakeRunKey(n));
    running.push_back({MakeRunKey(n), row.percent});
  }
  agent.now.boot += agent.board.runs.begin()->second.estimate;
  const auto reports =
      SelectMessages<LoadReport>(agent.AnswerPoll(running, {}));
  const double reported =
      reports.empty()
          ? agent.board.links.begin()->second.last_report->log_slowness
          : reports.back().second.log_slowness;
  CHECK(reported == Approx(row.reported).margin(0.01));
}

TEST_CASE("A fenced agent raises its token", "[pool][agent][fencing]") {
  // Guards against an agent whose clock was set back and whose calls are then
  // rejected forever.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kFenced}});
  CHECK(agent.board.fencing_token > 10);
}

TEST_CASE("A run is not lost because a row of the minion's list is unreadable",
          "[pool][agent][twice]") {
  // Guards against a second run elsewhere while the unreadable row stands for
  // the first one, and against polls that follow each other without a pause
  // because the minion returns the row at once.
  struct Row {
    std::uint64_t refused_rows;
    std::size_t lost_runs;
    milliseconds pause;
  };
  const auto row =
      GENERATE(values<Row>({{0, 1, milliseconds{0}},
                            {1, 0, AgentSettings{}.failed_poll_interval},
                            {3, 0, AgentSettings{}.failed_poll_interval}}));
  CAPTURE(row.refused_rows);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  agent.now.boot += milliseconds{10};
  agent.AnswerPoll({{MakeRunKey(0), 5}}, {});
  agent.now.boot += milliseconds{10};
  PollAnswered lists;
  lists.sequence = agent.board.poll.sequence;
  lists.answer = CallAnswer::kAccepted;
  lists.clock_ms = 50'000;
  lists.started_ms = agent.board.minion->started_ms;
  lists.refused_rows = row.refused_rows;
  const auto effects = agent.Step({lists});
  CHECK(SelectMessages<RunEnded>(effects).size() == row.lost_runs);
  CHECK(agent.board.poll.next_at == agent.now.boot + row.pause);
}

TEST_CASE("A start time far ahead does not hide the minion's real reports",
          "[pool][agent][minion]") {
  // Guards against an agent that follows no minion any more because of one
  // report from another writer.
  const bool is_report = GENERATE(false, true);
  CAPTURE(is_report);
  AgentFixture agent;
  agent.now.wall = milliseconds{1'775'110'326'000};
  const std::uint64_t far_ahead = 1'775'110'326'000 + 2 * 86'400'000;
  if (is_report) {
    agent.Step({MinionReported{MakeMinionReport("odd", far_ahead, 1)}});
  } else {
    agent.AddEntry(1, 100);
    StartAndConfirm(&agent, MakeRunKey(0));
    PollAnswered lists;
    lists.sequence = agent.board.poll.sequence;
    lists.answer = CallAnswer::kAccepted;
    lists.started_ms = far_ahead;
    lists.running = {{MakeRunKey(0), 5}};
    agent.Step({lists});
  }
  CHECK(agent.board.minion->id == "m1");
  CHECK(agent.board.minion->started_ms == 1'000);
  agent.Step({MinionReported{MakeMinionReport("m1", 1'000, 9)}});
  CHECK(agent.board.minion->sequence == 9);
}

}  // namespace
}  // namespace dottereltrack::pool
