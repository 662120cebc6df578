#include <catch2/catch.hpp>

#include "core/pool/agent/capacity.h"
#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

// The word that the known instance "m1" has ended.
enum class EndNotice { kLeave, kReportOfAnother };

AgentEvent MakeEvent(EndNotice notice) {
  if (notice == EndNotice::kLeave) return MinionLeft{"m1"};
  return MinionReported{MakeMinionReport("m2", 2'000, 1)};
}

// An agent whose minion has a run.
AgentFixture MakeAgentWithRun() {
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  return agent;
}

std::vector<RunEnd> ReportedEnds(const std::vector<AgentEffect>& effects) {
  std::vector<RunEnd> ends;
  for (const auto& [link, message] : SelectMessages<RunEnded>(effects)) {
    ends.push_back(message.end);
  }
  return ends;
}

// Lets all polls up to `until` fail; returns the ends reported on the way.
std::vector<RunEnd> FailPollsUntil(AgentFixture* agent, CallAnswer answer,
                                   BootTime until) {
  std::vector<RunEnd> ends;
  while (agent->now.boot < until) {
    auto effects = agent->board.poll.in_flight ? agent->FailPoll(answer)
                                               : std::vector<AgentEffect>{};
    for (const RunEnd end : ReportedEnds(effects)) ends.push_back(end);
    agent->now.boot =
        std::min<BootTime>(until, agent->now.boot + milliseconds{10});
    effects = agent->Step({AgentTick{}});
    for (const RunEnd end : ReportedEnds(effects)) ends.push_back(end);
  }
  return ends;
}

TEST_CASE(
    "The runs of a minion that is said to have ended are lost when their lease "
    "has lapsed, and not before",
    "[pool][agent][twice]") {
  // Guards against a second run elsewhere while the first is at work, because
  // the call came from another writer or the minion outlives its leave, and
  // against callers that wait for runs of an instance that has ended.
  struct Row {
    EndNotice notice;
    CallAnswer answer;
  };
  const auto row = GENERATE(
      values<Row>({{EndNotice::kLeave, CallAnswer::kNotConnected},
                   {EndNotice::kLeave, CallAnswer::kUnanswered},
                   {EndNotice::kReportOfAnother, CallAnswer::kNotConnected},
                   {EndNotice::kReportOfAnother, CallAnswer::kUnanswered},
                   {EndNotice::kReportOfAnother, CallAnswer::kOtherInstance}}));
  CAPTURE(static_cast<int>(row.notice), static_cast<int>(row.answer));
  AgentFixture agent = MakeAgentWithRun();
  const BootTime lease_ends_at = agent.board.poll.lease_ends_at;
  CHECK(ReportedEnds(agent.Step({MakeEvent(row.notice)})).empty());
  CHECK_FALSE(IsAccepting(agent.board, agent.now));
  CHECK(FailPollsUntil(&agent, row.answer, lease_ends_at - milliseconds{1})
            .empty());
  CHECK(FailPollsUntil(&agent, row.answer, lease_ends_at) ==
        std::vector{RunEnd::kLost});
  const bool is_replaced = row.notice == EndNotice::kReportOfAnother;
  CHECK(agent.board.minion->id == (is_replaced ? "m2" : "m1"));
  agent.AnswerPoll({}, {});
  CHECK(IsAccepting(agent.board, agent.now) == is_replaced);
}

TEST_CASE("Runs go on while their minion answers polls",
          "[pool][agent][twice]") {
  // Guards against work that is lost, and started again elsewhere, because of a
  // report of another writer or a leave whose sender has not ended.
  const auto notice =
      GENERATE(values({EndNotice::kLeave, EndNotice::kReportOfAnother}));
  CAPTURE(static_cast<int>(notice));
  AgentFixture agent = MakeAgentWithRun();
  agent.Step({MakeEvent(notice)});
  agent.now.boot += milliseconds{50};
  const auto polls =
      SelectEffects<CallPoll>(agent.AnswerPoll({{MakeRunKey(0), 50}}, {}));
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].lease_ends_ms.has_value());
  const auto effects =
      agent.AnswerPoll({}, {{1, MakeRunKey(0), RunEnd::kDone}});
  CHECK(ReportedEnds(effects) == std::vector{RunEnd::kDone});
  CHECK(agent.board.minion->id == "m1");
  const bool has_left = notice == EndNotice::kLeave;
  CHECK(IsAccepting(agent.board, agent.now) == !has_left);
}

// Tells the agent that its minion has restarted under its id.
void Restart(AgentFixture* agent, bool is_found_by_poll) {
  if (is_found_by_poll) {
    PollAnswered answer;
    answer.sequence = agent->board.poll.sequence;
    answer.answer = CallAnswer::kAccepted;
    answer.clock_ms = 1'000;
    answer.started_ms = 2'000;
    agent->Step({answer});
  } else {
    agent->Step({MinionReported{MakeMinionReport("m1", 2'000, 1)}});
  }
}

TEST_CASE("A restarted minion takes no run while it may hold a long lease",
          "[pool][agent][twice]") {
  // Guards against a run that outlives the wait of its entry: a call for the
  // former process, whose clock was ahead, may have given the new process the
  // longest lease that a minion grants.
  const bool is_found_by_poll = GENERATE(false, true);
  // The minion's clock may stand still while the agent is paused.
  const auto pause = GENERATE(values({milliseconds{0}, milliseconds{1'000}}));
  CAPTURE(is_found_by_poll, pause.count());
  AgentFixture agent = MakeAgentWithRun();
  Restart(&agent, is_found_by_poll);
  agent.now.boot += milliseconds{30};
  agent.AnswerPoll({}, {{1, MakeRunKey(0), RunEnd::kLost}});
  if (pause.count() > 0) {
    agent.now.boot += pause;
    agent.Step({AgentPaused{pause}});
    agent.AnswerPoll({}, {});
  }
  const AgentSettings& settings = agent.board.settings;
  const auto wait = settings.max_granted_lease - settings.max_lease_duration;
  agent.now.boot += wait - milliseconds{1};
  CHECK_FALSE(IsAccepting(agent.board, agent.now));
  agent.now.boot += milliseconds{1};
  CHECK(IsAccepting(agent.board, agent.now));
}

TEST_CASE("The runs of a restarted minion are not lost before its lease ends",
          "[pool][agent][twice]") {
  // Guards against a second run elsewhere while the restarted minion, which has
  // accepted the start of the first, holds the longest lease that it grants.
  const bool is_found_by_poll = GENERATE(false, true);
  CAPTURE(is_found_by_poll);
  AgentFixture agent = MakeAgentWithRun();
  Restart(&agent, is_found_by_poll);
  agent.now.boot += milliseconds{30};
  agent.AnswerPoll({{MakeRunKey(0), 10}}, {});
  const BootTime lease_ends_at =
      agent.now.boot + agent.board.settings.max_granted_lease;
  CHECK(FailPollsUntil(&agent, CallAnswer::kNotConnected,
                       lease_ends_at - milliseconds{1})
            .empty());
  CHECK(FailPollsUntil(&agent, CallAnswer::kNotConnected, lease_ends_at) ==
        std::vector{RunEnd::kLost});
}

TEST_CASE("A run is stopped on the restarted minion again",
          "[pool][agent][twice]") {
  // Guards against a run that goes on after its client has submitted the job
  // elsewhere: its start was meant for the former process, which has accepted
  // the stop, and the new process carries the start out.
  struct Row {
    const char* name;
    bool is_answered_before;
    bool is_answered_after;
  };
  const auto row =
      GENERATE(values<Row>({{"answered before the restart", true, false},
                            {"answer of the former process", false, true},
                            {"no answer", false, false}}));
  CAPTURE(row.name);
  AgentFixture agent = MakeAgentWithRun();
  const StopAnswered accepted{
      MakeRunKey(0), CallAnswer::kAccepted, {}, agent.board.fencing_token};
  agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  if (row.is_answered_before) agent.Step({accepted});
  agent.Step({MinionReported{MakeMinionReport("m1", 2'000, 1)}});
  if (row.is_answered_after) agent.Step({accepted});
  agent.now.boot += milliseconds{30};
  agent.AnswerPoll({{MakeRunKey(0), 10}}, {});
  const RunRow* run = agent.board.runs.Find(MakeRunKey(0));
  REQUIRE(run != nullptr);
  CHECK(run->stop_in_flight);
  CHECK_FALSE(run->stop_answered_at.has_value());
}

TEST_CASE("An instance that answers no poll gives way to an earlier one",
          "[pool][agent][minion]") {
  // Guards against a minion that gets no tasks any more, because a report of
  // another writer named a later start.
  struct Row {
    const char* name;
    bool has_answered;
    int failed_polls;
    std::string known;
  };
  const auto row = GENERATE(values<Row>({{"never answered", false, 2, "m1"},
                                         {"not polled yet", false, 0, "m2"},
                                         {"answered before", true, 2, "m2"}}));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
  if (row.has_answered) agent.AnswerPoll({}, {});
  for (int n = 0; n < row.failed_polls; ++n) {
    agent.now.boot = agent.board.poll.next_at;
    agent.Step({AgentTick{}});
    if (agent.board.poll.in_flight) agent.FailPoll(CallAnswer::kNotConnected);
  }
  agent.Step({MinionReported{MakeMinionReport("m1", 1'000, 9)}});
  CHECK(agent.board.minion->id == row.known);
}

}  // namespace
}  // namespace dottereltrack::pool
