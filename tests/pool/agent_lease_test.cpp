#include <catch2/catch.hpp>

#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr milliseconds kReportInterval{1'500};
constexpr milliseconds kTickInterval{25};
// The platform's bound on how slow a minion's clock may be.
constexpr double kSlowRate = 0.98;

// The fixture's agent and the clock of its minion.
struct ClockedAgent {
  AgentFixture agent;
  double rate = 1;
  double clock_ms = 50'000;
  std::uint64_t sequence = 1;
  // Lease ends of all calls so far that exceed the lease on the minion's clock.
  std::vector<double> excess_ms;
  std::vector<double> lease_ms;
  int polls = 0;

  void Record(const std::vector<AgentEffect>& effects) {
    for (const CallStart& it : SelectEffects<CallStart>(effects)) {
      RecordLease(it.lease_ends_ms);
    }
    for (const CallPoll& it : SelectEffects<CallPoll>(effects)) {
      ++polls;
      if (it.lease_ends_ms) RecordLease(*it.lease_ends_ms);
    }
  }

  void RecordLease(std::uint64_t ends_ms) {
    const double lease = static_cast<double>(ends_ms) - clock_ms;
    lease_ms.push_back(lease);
    const auto allowed =
        static_cast<double>(agent.board.settings.lease.count());
    if (lease > allowed) excess_ms.push_back(lease - allowed);
  }

  void Advance(milliseconds time) {
    clock_ms += rate * static_cast<double>(time.count());
    Record(agent.AdvanceTime(time));
  }

  void AnswerPoll(std::vector<ListedRun> running) {
    PollAnswered answer;
    answer.sequence = agent.board.poll.sequence;
    answer.answer = CallAnswer::kAccepted;
    answer.clock_ms = static_cast<std::uint64_t>(clock_ms);
    answer.started_ms = agent.board.minion->started_ms;
    answer.running = std::move(running);
    Record(agent.Step({answer}));
  }

  void Report() {
    MinionReport report = MakeMinionReport("m1", 1'000, ++sequence);
    report.clock_ms = static_cast<std::uint64_t>(clock_ms);
    Record(agent.Step({MinionReported{report}}));
  }

  // Lets time pass without runs.
  void Idle(milliseconds time, bool reports) {
    for (milliseconds t{0}; t < time; t += kTickInterval) {
      Advance(kTickInterval);
      if (agent.board.poll.in_flight) AnswerPoll({});
      if (reports && t.count() % kReportInterval.count() == 0) Report();
    }
  }
};

TEST_CASE("A lease is never longer than meant on the minion's clock",
          "[pool][agent][lease][twice]") {
  // Guards against the first run after a time without runs, which outlives the
  // wait of an entry that has lost its agent: the clock of the minion was
  // estimated from a reading that was as old as the last run.
  struct Row {
    const char* name;
    milliseconds idle;
    bool reports;
    double rate;
  };
  const auto row = GENERATE(values<Row>({
      {"no pause between runs", milliseconds{0}, true, kSlowRate},
      {"a slow clock and reports", seconds{50}, true, kSlowRate},
      {"a slow clock and no reports", seconds{50}, false, kSlowRate},
      {"a true clock and reports", seconds{50}, true, 1.0},
      {"a true clock and no reports", seconds{50}, false, 1.0},
      {"an hour", seconds{3'600}, true, kSlowRate},
  }));
  CAPTURE(row.name);
  ClockedAgent it;
  it.rate = row.rate;
  it.agent.AddEntry(1, 100);
  it.Idle(row.idle, row.reports);
  it.Record(it.agent.Start(1, MakeRunKey(0)));
  it.Record(
      it.agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}}));
  REQUIRE(it.lease_ms.size() >= 2);
  CHECK(it.excess_ms.empty());
  // The drift since a reading may shorten the lease.
  const AgentSettings& settings = it.agent.board.settings;
  const auto drift_ms = static_cast<double>(
      (settings.max_clock_reading_age + 2 * kTickInterval).count());
  CHECK(it.lease_ms.front() >= static_cast<double>(settings.lease.count()) -
                                   (1 - kSlowRate) * drift_ms - 2);
}

TEST_CASE("An agent reads the clock of an idle minion from its reports",
          "[pool][agent][lease]") {
  // Guards against polls of idle minions that bring nothing new, and against
  // minions whose clock is not known because they do not report.
  const bool reports = GENERATE(false, true);
  CAPTURE(reports);
  ClockedAgent it;
  it.Idle(seconds{30}, reports);
  CHECK((it.polls == 0) == reports);
  CHECK(it.polls <= 30'000 / AgentSettings{}.max_clock_reading_age.count());
}

TEST_CASE("A delayed report does not set the minion's clock back",
          "[pool][agent][lease]") {
  // Guards against starts whose lease has expired before they arrive.
  ClockedAgent it;
  it.agent.AddEntry(1, 100);
  it.Idle(seconds{3}, true);
  MinionReport delayed = MakeMinionReport("m1", 1'000, ++it.sequence);
  delayed.clock_ms = static_cast<std::uint64_t>(it.clock_ms) - 900;
  it.agent.Step({MinionReported{delayed}});
  it.Record(it.agent.Start(1, MakeRunKey(0)));
  REQUIRE_FALSE(it.lease_ms.empty());
  CHECK(it.lease_ms.front() > 200);
}

TEST_CASE("After a pause the lease is not longer than meant",
          "[pool][agent][lease][twice]") {
  // Guards against leases of up to a second if the machine was suspended, and
  // the minion's clock with it, and against starts whose lease has expired if
  // only the agent was paused.
  struct Row {
    const char* name;
    bool minion_paused;
    bool has_run;
  };
  const auto row =
      GENERATE(values<Row>({{"the whole machine, idle", true, false},
                            {"the whole machine, with a run", true, true},
                            {"the agent only, idle", false, false},
                            {"the agent only, with a run", false, true}}));
  CAPTURE(row.name);
  const milliseconds pause = seconds{2};
  ClockedAgent it;
  it.agent.AddEntry(1, 100);
  std::vector<ListedRun> running;
  if (row.has_run) {
    it.Record(it.agent.Start(1, MakeRunKey(0)));
    it.agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
    it.AnswerPoll({{MakeRunKey(0), 5}});
    running.push_back({MakeRunKey(0), 6});
  }
  it.agent.now.boot += pause;
  it.agent.now.wall += pause;
  if (!row.minion_paused) it.clock_ms += static_cast<double>(pause.count());
  it.Record(it.agent.Step({AgentPaused{pause}}));
  REQUIRE(it.agent.board.poll.in_flight);
  it.AnswerPoll(running);
  it.lease_ms.clear();
  it.Record(it.agent.Start(1, MakeRunKey(1)));
  CHECK(it.excess_ms.empty());
  REQUIRE_FALSE(it.lease_ms.empty());
  CHECK(it.lease_ms.front() > 200);
}

TEST_CASE("A stop of a forwarded job withholds the lease sooner",
          "[pool][agent][overload]") {
  // Guards against runs that outlive the pauses of two entries and of the
  // agent, and against an agent that accepts no starts while a usual stop is
  // answered.
  struct Row {
    bool withholds_lease;
    int poll_age_ms;
    int limit_ms;
  };
  const auto row = GENERATE(values<Row>({{false, 0, 280},
                                         {false, 300, 280},
                                         {true, 0, 60},
                                         {true, 150, 60},
                                         {true, 151, 0},
                                         {true, 300, 0}}));
  CAPTURE(row.withholds_lease, row.poll_age_ms);
  AgentFixture agent;
  agent.AddEntry(1, 11);
  agent.Start(1, MakeRunKey(0));
  agent.board.poll.sent_at = agent.now.boot - milliseconds{row.poll_age_ms};
  agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0), row.withholds_lease}}});
  const RunRow* run = agent.board.runs.Find(MakeRunKey(0));
  REQUIRE(run != nullptr);
  CHECK(run->must_stop_by == agent.now.boot + milliseconds{row.limit_ms});
}

}  // namespace
}  // namespace dottereltrack::pool
