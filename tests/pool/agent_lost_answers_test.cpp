#include <catch2/catch.hpp>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/poll_timing.h"
#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

// The load of these tests: a minion leaves some calls unanswered and executes
// them seconds later, or never, while all others are answered at once.

constexpr milliseconds kTick{5};

// Advances the clock in steps until the agent sends an effect of a kind.
// Returns the time that it took; `limit` if it was not sent.
template <typename T>
milliseconds TimeUntil(AgentFixture* agent, milliseconds limit) {
  for (milliseconds waited{0}; waited < limit; waited += kTick) {
    if (!SelectEffects<T>(agent->AdvanceTime(kTick)).empty()) {
      return waited + kTick;
    }
  }
  return limit;
}

TEST_CASE("A lost answer to a poll delays the ends of runs by little",
          "[pool][agent][lost_answers]") {
  // Guards against runs whose ends are seen only after the timeout of a lost
  // poll, 90 ms later; the shortest objective leaves about 90 ms of slack.
  struct Row {
    const char* name;
    std::optional<milliseconds> since_lost_answer;
    milliseconds max_delay;
  };
  const auto row = GENERATE(values<Row>(
      {{"first loss", {}, milliseconds{60}},
       {"soon after another one", milliseconds{100}, milliseconds{25}},
       {"long after another one", seconds{10}, milliseconds{60}}}));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  if (row.since_lost_answer) {
    agent.board.poll.answer_lost_at = agent.now.boot - *row.since_lost_answer;
  }
  agent.AnswerPoll({{MakeRunKey(0), 1}}, {});
  REQUIRE(agent.board.poll.in_flight);
  CHECK(TimeUntil<CallPoll>(&agent, milliseconds{90}) <= row.max_delay);
  CHECK(agent.board.poll.failures == 0);
  CHECK(IsAccepting(agent.board, agent.now));
  agent.AnswerPoll({{MakeRunKey(0), 5}}, {});
  CHECK(agent.board.poll.answer_lost_at == agent.now.boot);
}

TEST_CASE("An answered poll is not replaced", "[pool][agent][lost_answers]") {
  // Guards against twice as many polls of minions that lose no answers.
  struct Row {
    const char* name;
    RunPhase phase;
    bool has_begun;
    milliseconds poll_sent_after_start;
    PollReplacement replacement;
  };
  const auto row = GENERATE(
      values<Row>({{"run at work", RunPhase::kRunning, true, milliseconds{0},
                    PollReplacement::kNone},
                   {"fresh start", RunPhase::kStarting, false, milliseconds{20},
                    PollReplacement::kStartInDoubt},
                   {"start that the poll shows", RunPhase::kStarting, false,
                    milliseconds{25}, PollReplacement::kNone},
                   {"stop of a run at work", RunPhase::kStopping, true,
                    milliseconds{0}, PollReplacement::kNone},
                   {"stop of a run that was never seen", RunPhase::kStopping,
                    false, milliseconds{0}, PollReplacement::kStopToConfirm}}));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.now.boot += milliseconds{49};
  RunRow run = *agent.board.runs.Find(MakeRunKey(0));
  run.phase = row.phase;
  run.has_begun = row.has_begun;
  if (row.phase == RunPhase::kStopping) run.stop_answered_at = agent.now.boot;
  agent.board.runs.Put(run);
  agent.board.poll.wait = milliseconds{50};
  agent.board.poll.sent_at = run.started_at + row.poll_sent_after_start;
  CHECK(FindPollReplacement(agent.board, agent.now) == row.replacement);
}

TEST_CASE("A lost start is given up within its objective's slack",
          "[pool][agent][lost_answers]") {
  // Guards against tasks that wait for the timeout of the start, a poll and the
  // longest stop before they are started elsewhere, about 190 ms.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  const BootTime started_at = agent.now.boot;
  TimeUntil<CallPoll>(&agent, milliseconds{100});
  REQUIRE(SelectEffects<CallStop>(agent.AnswerPoll({}, {})).size() == 1);
  agent.Step({StopAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  REQUIRE(agent.board.poll.in_flight);
  const auto ended = SelectMessages<RunEnded>(agent.AnswerPoll({}, {}));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].second.end == RunEnd::kLost);
  CHECK(agent.now.boot - started_at <= milliseconds{40});
}

TEST_CASE("A run that the minion may have is not given up early",
          "[pool][agent][lost_answers][twice]") {
  // Guards against a second run elsewhere while the first one is at work.
  struct Row {
    const char* name;
    bool is_listed_once;
    bool is_stop_accepted;
    bool ends;
  };
  const auto row = GENERATE(
      values<Row>({{"listed before, stop accepted", true, true, false},
                   {"never listed, stop not accepted", false, false, false},
                   {"never listed, stop accepted", false, true, true}}));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  TimeUntil<CallPoll>(&agent, milliseconds{100});
  if (row.is_listed_once) {
    agent.AnswerPoll({{MakeRunKey(0), 1}}, {});
    agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  } else {
    agent.AnswerPoll({}, {});
  }
  agent.Step({StopAnswered{MakeRunKey(0), row.is_stop_accepted
                                              ? CallAnswer::kAccepted
                                              : CallAnswer::kUnanswered}});
  agent.AnswerPoll({}, {});
  CHECK(agent.board.runs.empty() == row.ends);
}

TEST_CASE("A late answer to a replaced poll changes nothing",
          "[pool][agent][lost_answers]") {
  // Guards against an old list that ends runs which have begun since.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  PollAnswered old;
  old.sequence = agent.board.poll.sequence;
  old.answer = CallAnswer::kAccepted;
  old.started_ms = agent.board.minion->started_ms;
  TimeUntil<CallPoll>(&agent, milliseconds{100});
  const AgentBoard before = agent.board;
  agent.Step({old});
  CHECK(agent.board.runs.Contains(MakeRunKey(0)));
  CHECK(agent.board.poll == before.poll);
}

}  // namespace
}  // namespace dottereltrack::pool
