#include <algorithm>
#include <catch2/catch.hpp>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/health.h"
#include "core/pool/pause.h"
#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

// Ends that the agent has reported.
std::vector<RunEnd> ReportedEnds(const std::vector<AgentEffect>& effects) {
  std::vector<RunEnd> ends;
  for (const auto& [link, message] : SelectMessages<RunEnded>(effects)) {
    ends.push_back(message.end);
  }
  return ends;
}

// Starts a run that the minion accepts.
void StartAndConfirm(AgentFixture* agent, const RunKey& run) {
  agent->Start(1, run);
  agent->Step({StartAnswered{run, CallAnswer::kAccepted}});
}

TEST_CASE("A run is started only within the minion's capacity",
          "[pool][agent][limit]") {
  // Guards against overloading a minion, which does not check its own capacity.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  for (std::uint32_t n = 0; n < 4; ++n) {
    CHECK(SelectEffects<CallStart>(agent.Start(1, MakeRunKey(n))).size() == 1);
  }
  const auto effects = agent.Start(1, MakeRunKey(4));
  CHECK(SelectEffects<CallStart>(effects).empty());
  const auto refusals = SelectMessages<StartRefused>(effects);
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].second.refusal == StartRefusal::kNoRoom);
}

TEST_CASE("The answer to a start decides whether its resources stay reserved",
          "[pool][agent][limit]") {
  // Guards against releasing resources while the run may exist, and against
  // never releasing them.
  struct Row {
    CallAnswer answer;
    bool stays_reserved;
    std::optional<StartRefusal> refusal;
  };
  const auto row = GENERATE(values<Row>(
      {{CallAnswer::kAccepted, true, {}},
       {CallAnswer::kUnanswered, true, {}},
       {CallAnswer::kNoRoom, false, StartRefusal::kNoRoom},
       {CallAnswer::kOldNumber, false, StartRefusal::kOldNumber},
       {CallAnswer::kInvalid, false, StartRefusal::kRejected},
       {CallAnswer::kLate, false, StartRefusal::kNotAccepting},
       {CallAnswer::kFenced, false, StartRefusal::kNotAccepting},
       {CallAnswer::kOtherInstance, false, StartRefusal::kNotAccepting},
       {CallAnswer::kUnavailable, false, StartRefusal::kNotAccepting}}));
  CAPTURE(static_cast<int>(row.answer));
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  const auto effects = agent.Step({StartAnswered{MakeRunKey(0), row.answer}});
  const Resources reserved = row.stays_reserved ? kTaskNeeds : Resources{};
  CHECK(FreeResources(agent.board) == kMinionCapacity - reserved);
  const auto refusals = SelectMessages<StartRefused>(effects);
  REQUIRE(refusals.size() == (row.refusal ? 1U : 0U));
  if (row.refusal) CHECK(refusals[0].second.refusal == *row.refusal);
}

TEST_CASE("An unanswered start is resolved by the next poll",
          "[pool][agent][twice]") {
  // Guards against a task that is started elsewhere although the minion runs
  // it, and against a start that arrives late: after the stop the minion
  // refuses it.
  const bool listed = GENERATE(false, true);
  CAPTURE(listed);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.AnswerPoll({}, {});
  agent.now.boot += milliseconds{20};
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kUnanswered}});
  // The poll in flight may be older than the start, so it resolves nothing.
  CHECK(ReportedEnds(agent.AnswerPoll({}, {})).empty());
  agent.now.boot += milliseconds{1};
  std::vector<ListedRun> running;
  if (listed) running.push_back({MakeRunKey(0), 10});
  const auto effects = agent.AnswerPoll(running, {});
  CHECK(ReportedEnds(effects).empty());
  const RunRow* run = agent.board.runs.Find(MakeRunKey(0));
  REQUIRE(run != nullptr);
  CHECK(run->phase == (listed ? RunPhase::kRunning : RunPhase::kStopping));
  CHECK(SelectEffects<CallStop>(effects).size() == (listed ? 0U : 1U));
  // Guards against entries that keep sending tasks with little time left to a
  // minion that executes starts seconds late.
  const auto reports = SelectMessages<LoadReport>(effects);
  REQUIRE(reports.size() == (listed ? 0U : 1U));
  if (listed) return;
  CHECK(reports[0].second.misses_starts);
  const auto decisions = SelectEffects<Decision>(effects);
  CHECK(std::count_if(decisions.begin(), decisions.end(), [](const auto& it) {
          return it.event == "minion_misses_starts";
        }) == 1);
  CHECK(HasMissedStart(agent.board.health, agent.now));
  agent.now.boot += seconds{4};
  CHECK_FALSE(HasMissedStart(agent.board.health, agent.now));
}

TEST_CASE("A stopped run keeps its resources until its end is known",
          "[pool][agent][limit]") {
  // Guards against starts on resources that a run still uses while it stops.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  const auto stop = agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  REQUIRE(SelectEffects<CallStop>(stop).size() == 1);
  agent.Step({StopAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  CHECK(FreeResources(agent.board) == kMinionCapacity - kTaskNeeds);
  const auto effects =
      agent.AnswerPoll({}, {{1, MakeRunKey(0), RunEnd::kStopped}});
  CHECK(ReportedEnds(effects) == std::vector{RunEnd::kStopped});
  CHECK(FreeResources(agent.board) == kMinionCapacity);
}

TEST_CASE("A list that was made before a stop took effect does not end the run",
          "[pool][agent][limit]") {
  // Guards against releasing resources because of a poll response that overtook
  // the start or the stop.
  const milliseconds after_stop = GENERATE(values<milliseconds>(
      {milliseconds{0}, milliseconds{59}, milliseconds{60}}));
  CAPTURE(after_stop.count());
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  agent.Step({StopAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  agent.now.boot += after_stop;
  // The answer to this poll makes the agent poll again at once.
  agent.AnswerPoll({{MakeRunKey(0), 1}}, {});
  REQUIRE(agent.board.poll.sent_at == agent.now.boot);
  const auto effects = agent.AnswerPoll({}, {});
  const bool is_certain = after_stop >= agent.board.settings.max_run_stop_time;
  CHECK(ReportedEnds(effects).size() == (is_certain ? 1U : 0U));
}

TEST_CASE("A stop without an answer is repeated", "[pool][agent][twice]") {
  // Guards against runs that go on because one call was lost.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  agent.Step({StopAnswered{MakeRunKey(0), CallAnswer::kUnanswered}});
  CHECK(SelectEffects<CallStop>(agent.AdvanceTime(milliseconds{60})).size() ==
        1);
}

TEST_CASE("The runs of a lost entry are stopped", "[pool][agent][twice]") {
  // Guards against a second run when the client submits the job to another
  // entry 1.3 s after the first entry failed.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.AddEntry(2, 200);
  StartAndConfirm(&agent, MakeRunKey(0));
  agent.Start(2, MakeRunKey(1));
  const auto effects = agent.Step({EntryLinkClosed{{1}}});
  const auto stops = SelectEffects<CallStop>(effects);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == MakeRunKey(0));
}

TEST_CASE("The lease lapses if a run does not stop in time",
          "[pool][agent][lease][twice]") {
  // Guards against a second run elsewhere while a minion that refuses or loses
  // stops goes on with the first, and against lost runs because of a stop that
  // is merely under way.
  enum class Cause { kLinkClosed, kRequest, kRequestThenLinkClosed, kStalled };
  struct Row {
    Cause cause;
    CallAnswer answer;
    milliseconds age;
    bool renews;
  };
  const milliseconds stop_time = AgentSettings{}.max_run_stop_time;
  const milliseconds request_time = AgentSettings{}.max_requested_stop_time;
  const milliseconds tick{1};
  const auto row = GENERATE_COPY(values<Row>({
      {Cause::kLinkClosed, CallAnswer::kUnanswered, stop_time - tick, true},
      {Cause::kLinkClosed, CallAnswer::kUnanswered, stop_time, false},
      {Cause::kLinkClosed, CallAnswer::kUnavailable, stop_time, false},
      {Cause::kLinkClosed, CallAnswer::kAccepted, stop_time, true},
      {Cause::kRequest, CallAnswer::kUnanswered, request_time - tick, true},
      {Cause::kRequest, CallAnswer::kUnanswered, request_time, false},
      {Cause::kRequest, CallAnswer::kAccepted, request_time, true},
      {Cause::kRequestThenLinkClosed, CallAnswer::kUnanswered, stop_time,
       false},
      {Cause::kStalled, CallAnswer::kUnanswered, 2 * request_time, true},
  }));
  CAPTURE(static_cast<int>(row.cause), static_cast<int>(row.answer),
          row.age.count());
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.AddEntry(2, 200);
  StartAndConfirm(&agent, MakeRunKey(0));
  std::vector<AgentEvent> events;
  if (row.cause == Cause::kStalled) {
    agent.now.boot += AgentSettings{}.min_stall_time;
    events = {AgentTick{}};
  } else if (row.cause == Cause::kLinkClosed) {
    events = {EntryLinkClosed{{1}}};
  } else {
    events = {EntryMessage{{1}, StopRun{MakeRunKey(0)}}};
    if (row.cause == Cause::kRequestThenLinkClosed) {
      events.emplace_back(EntryLinkClosed{{1}});
    }
  }
  REQUIRE(SelectEffects<CallStop>(agent.Step(events)).size() == 1);
  agent.Step({StopAnswered{MakeRunKey(0), row.answer}});
  agent.now.boot += row.age;
  const auto polls =
      SelectEffects<CallPoll>(agent.AnswerPoll({{MakeRunKey(0), 5}}, {}));
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].lease_ends_ms.has_value() == row.renews);
  // A start would renew the lease as well.
  const auto start = agent.Start(2, MakeRunKey(1));
  CHECK(SelectEffects<CallStart>(start).empty() == !row.renews);
}

TEST_CASE("A start that can no longer be carried out needs no stop",
          "[pool][agent][lease]") {
  // Guards against a minion that gets no leases and no runs any more because it
  // refuses to stop a run that it has never begun, and against giving up a run
  // whose start may still arrive.
  struct Row {
    const char* name;
    milliseconds age;
    bool has_restarted;
    bool ends;
  };
  const milliseconds lease = AgentSettings{}.max_lease_duration;
  const auto row = GENERATE_COPY(
      values<Row>({{"lease in force", lease - milliseconds{1}, false, false},
                   {"lease lapsed", lease, false, true},
                   {"minion restarted", lease, true, false}}));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kUnanswered}});
  agent.Step({EntryMessage{{1}, StopRun{MakeRunKey(0)}}});
  if (row.has_restarted) {
    agent.Step({MinionReported{MakeMinionReport("m1", 2'000, 1)}});
  }
  agent.now.boot += row.age;
  agent.AnswerPoll({}, {});
  agent.Step({StopAnswered{MakeRunKey(0), CallAnswer::kUnavailable}});
  agent.AnswerPoll({}, {});
  CHECK(agent.board.runs.empty() == row.ends);
}

TEST_CASE("A run ends before its client submits the job to another entry",
          "[pool][agent][twice]") {
  // Guards against time limits whose sum exceeds the 1.3 s after which a client
  // that has lost its call submits the job again. Neither the entry nor the
  // agent notices a pause of the longest time below, and the minion accepts no
  // stop.
  const milliseconds resend_delay{1'300};
  const milliseconds tick_interval{25};
  const BootTime begin{seconds{1}};
  milliseconds pause{0};
  while (PauseDuration(begin, begin + pause + milliseconds{1}, tick_interval) ==
         milliseconds{0}) {
    pause += milliseconds{1};
  }
  const AgentSettings settings;
  // Without a poll of the agent, the runs lapse after this time.
  const milliseconds agent_pause = std::min(pause, settings.max_lease_duration);
  CHECK(pause + agent_pause + settings.max_requested_stop_time +
            settings.max_lease_duration <
        resend_delay);
}

TEST_CASE("A silent entry's link is aborted", "[pool][agent][links]") {
  // Guards against runs of an entry that lost power, since its connections are
  // not closed.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.now.boot += agent.board.settings.link_timeout;
  const auto aborted = SelectEffects<AbortEntryLink>(agent.Step({AgentTick{}}));
  REQUIRE(aborted.size() == 1);
  CHECK(aborted[0].link == LinkId{1});
}

TEST_CASE("After a pause an agent aborts all its links",
          "[pool][agent][twice]") {
  // Guards against a resumed agent that starts tasks which have been placed
  // elsewhere in the meantime.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.AddEntry(2, 200);
  CHECK(SelectEffects<AbortEntryLink>(
            agent.Step({AgentPaused{milliseconds{3'500}}}))
            .size() == 2);
}

TEST_CASE("A start that arrives with a pause is ignored",
          "[pool][agent][twice]") {
  // Guards against a start that was buffered in the socket of a paused process
  // while its task was placed elsewhere, and against an answer to it that its
  // entry would take for the answer to a later start.
  struct Row {
    const char* name;
    bool paused;
    std::size_t starts;
  };
  const auto row = GENERATE(
      values<Row>({{"no pause", false, 1}, {"after a pause", true, 0}}));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  std::vector<AgentEvent> events;
  if (row.paused) events.emplace_back(AgentPaused{milliseconds{3'500}});
  events.emplace_back(
      EntryMessage{{1},
                   StartRun{1, MakeRunKey(0), std::string("payload"),
                            kTaskNeeds, milliseconds{100}}});
  const auto effects = agent.Step(events);
  CHECK(SelectEffects<CallStart>(effects).size() == row.starts);
  CHECK(SelectMessages<StartRefused>(effects).empty());
}

TEST_CASE("An entry is told when all of its earlier runs have ended",
          "[pool][agent][twice]") {
  // Guards against an entry that starts a task again while its earlier run is
  // still being stopped.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  agent.Step({EntryLinkClosed{{1}}});
  agent.AddEntry(2, 100);
  auto settled = [&] {
    return agent.board.links.Find({2})->last_report->settled;
  };
  CHECK_FALSE(settled());
  agent.AnswerPoll({}, {{1, MakeRunKey(0), RunEnd::kStopped}});
  agent.AdvanceTime(milliseconds{50});
  CHECK(settled());
}

TEST_CASE("A minion never has two runs of one task", "[pool][agent][twice]") {
  // Guards against a second run of a resubmitted job whose previous run has not
  // ended on this minion.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  agent.AddEntry(2, 200);
  StartAndConfirm(&agent, MakeRunKey(0, 1));
  const auto effects = agent.Start(2, MakeRunKey(0, 2));
  CHECK(SelectEffects<CallStart>(effects).empty());
  CHECK(SelectMessages<StartRefused>(effects).size() == 1);
}

TEST_CASE("A run without progress is stopped and reported as stalled",
          "[pool][agent][health]") {
  // Guards against tasks that make no progress on a minion that reports no
  // fault.
  const bool advances = GENERATE(false, true);
  CAPTURE(advances);
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  for (int percent = 1; percent <= 20; ++percent) {
    agent.AdvanceTime(milliseconds{50});
    agent.AnswerPoll({{MakeRunKey(0), advances ? percent : 1}}, {});
  }
  const RunRow* run = agent.board.runs.Find(MakeRunKey(0));
  REQUIRE(run != nullptr);
  CHECK((run->phase == RunPhase::kStopping) == !advances);
}

TEST_CASE(
    "A stopping agent accepts no runs and exits when its last run has ended",
    "[pool][agent][stop]") {
  // Guards against interrupted runs during a planned stop, and against an agent
  // that does not exit until the platform kills it.
  AgentFixture agent;
  agent.AddEntry(1, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  agent.Step({AgentStopRequested{}});
  CHECK(SelectMessages<StartRefused>(agent.Start(1, MakeRunKey(1))).size() ==
        1);
  CHECK(SelectEffects<ExitAgent>(agent.AdvanceTime(milliseconds{50})).empty());
  agent.AnswerPoll({}, {{1, MakeRunKey(0), RunEnd::kDone}});
  CHECK(SelectEffects<ExitAgent>(agent.AdvanceTime(milliseconds{50})).size() ==
        1);
}

}  // namespace
}  // namespace dottereltrack::pool
