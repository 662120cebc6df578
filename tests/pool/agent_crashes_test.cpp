#include <catch2/catch.hpp>

#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kLink = 1;

// What the minion's silence says about its runs.
enum class Evidence { kNone, kPossible, kCertain };

// Crashes that the effects report to entries, with the link.
std::vector<std::pair<std::uint64_t, CrashReport>> ReportedCrashes(
    const std::vector<AgentEffect>& effects) {
  std::vector<std::pair<std::uint64_t, CrashReport>> found;
  for (const auto& [link, hello] : SelectMessages<AgentHello>(effects)) {
    for (const CrashReport& it : hello.crashes) found.emplace_back(link, it);
  }
  return found;
}

void StartAndConfirm(AgentFixture* agent, const RunKey& run) {
  agent->Start(kLink, run);
  agent->Step({StartAnswered{run, CallAnswer::kAccepted}});
}

// Lets the lease of the runs lapse while polls fail.
std::vector<AgentEffect> LapseLease(
    AgentFixture* agent, int failed_polls,
    CallAnswer answer = CallAnswer::kNotConnected,
    milliseconds delay = milliseconds{0}) {
  for (int n = 0; n < failed_polls; ++n) {
    if (!agent->board.poll.in_flight) {
      agent->now.boot = agent->board.poll.next_at;
      agent->Step({AgentTick{}});
    }
    agent->now.boot += delay;
    agent->FailPoll(answer);
  }
  agent->now.boot = agent->board.poll.lease_ends_at;
  return agent->Step({});
}

}  // namespace

TEST_CASE(
    "The end of a minion's process with runs on it is reported as a crash",
    "[pool][agent][crash]") {
  // Guards against crashes that no entry learns of, and against blaming tasks
  // for a planned end, a pause of this process or a delayed report.
  struct Row {
    const char* name;
    std::vector<AgentEffect> (*act)(AgentFixture*);
    Evidence evidence;
  };
  const auto row = GENERATE(values<Row>({
      {"connections refused until the lease lapsed",
       [](AgentFixture* agent) { return LapseLease(agent, 2); },
       Evidence::kCertain},
      {"connection attempts without an answer",
       [](AgentFixture* agent) {
         return LapseLease(agent, 2, CallAnswer::kNotConnected,
                           agent->board.settings.poll_timeout_margin);
       },
       Evidence::kPossible},
      {"no answer until the lease lapsed",
       [](AgentFixture* agent) {
         return LapseLease(agent, 2, CallAnswer::kUnanswered);
       },
       Evidence::kPossible},
      {"a single lost answer and a pause of the agent",
       [](AgentFixture* agent) { return LapseLease(agent, 1); },
       Evidence::kNone},
      {"no connection to a draining minion",
       [](AgentFixture* agent) {
         MinionReport report = MakeMinionReport("m1", 1'000, 2);
         report.draining = true;
         agent->Step({MinionReported{report}});
         return LapseLease(agent, 2);
       },
       Evidence::kNone},
      {"another instance while the known one does not answer",
       [](AgentFixture* agent) {
         agent->Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
         return LapseLease(agent, 1, CallAnswer::kUnanswered);
       },
       Evidence::kCertain},
      {"another instance while the known one answers",
       [](AgentFixture* agent) {
         agent->Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
         return agent->AnswerPoll({{MakeRunKey(0), 5}}, {});
       },
       Evidence::kNone},
      {"another instance after the lease has lapsed",
       [](AgentFixture* agent) {
         agent->now.boot = agent->board.poll.lease_ends_at;
         return agent->Step({MinionReported{MakeMinionReport("m2", 2'000, 1)}});
       },
       Evidence::kCertain},
      {"another instance under the same id",
       [](AgentFixture* agent) {
         return agent->Step({MinionReported{MakeMinionReport("m1", 2'000, 1)}});
       },
       Evidence::kCertain},
      {"a report of a former instance",
       [](AgentFixture* agent) {
         return agent->Step({MinionReported{MakeMinionReport("m0", 500, 1)}});
       },
       Evidence::kNone},
      {"a planned end",
       [](AgentFixture* agent) {
         agent->Step({MinionLeft{"m1"}});
         return LapseLease(agent, 2);
       },
       Evidence::kNone},
  }));
  CAPTURE(row.name);
  AgentFixture agent;
  agent.AddEntry(kLink, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  StartAndConfirm(&agent, MakeRunKey(3));
  const RunKey unanswered = MakeRunKey(2);
  agent.Start(kLink, unanswered);
  const auto crashes = ReportedCrashes(row.act(&agent));
  REQUIRE(crashes.size() == (row.evidence == Evidence::kNone ? 0U : 1U));
  if (crashes.empty()) return;
  CHECK(crashes[0].first == kLink);
  CHECK(crashes[0].second.minion == MinionInstance{"m1", 1'000});
  const std::vector begun{MakeRunKey(0).task, MakeRunKey(3).task};
  const CrashSuspects& suspects = crashes[0].second.suspects;
  if (row.evidence == Evidence::kCertain) {
    // A start without an answer may not have reached the minion.
    CHECK(suspects.certain == begun);
    CHECK(suspects.possible == std::vector{unanswered.task});
  } else {
    CHECK(suspects.certain.empty());
    CHECK(suspects.possible ==
          std::vector{begun[0], unanswered.task, begun[1]});
  }
}

TEST_CASE("An entry learns of a crash before the ends of its runs",
          "[pool][agent][crash]") {
  // Guards against a task that is started again before its entry knows that it
  // may have crashed its minion.
  AgentFixture agent;
  agent.AddEntry(kLink, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  const auto effects = LapseLease(&agent, 2);
  const auto sent = SelectEffects<SendToEntry>(effects);
  REQUIRE(sent.size() >= 2);
  CHECK(std::holds_alternative<AgentHello>(sent[0].message));
  CHECK(std::holds_alternative<RunEnded>(sent[1].message));
}

TEST_CASE("An agent accepts one run of a suspect task at a time",
          "[pool][agent][crash]") {
  // Guards against two suspects on one minion when several entries place tasks
  // on it at once.
  struct Row {
    bool first_is_suspect;
    bool second_is_suspect;
    std::size_t refused;
  };
  const auto row = GENERATE(values<Row>({{false, false, 0},
                                         {true, false, 0},
                                         {false, true, 0},
                                         {true, true, 1}}));
  CAPTURE(row.first_is_suspect, row.second_is_suspect);
  AgentFixture agent;
  agent.AddEntry(kLink, 100);
  StartRun start{1, MakeRunKey(0), std::string("payload"), kTaskNeeds,
                 milliseconds{100}};
  start.is_suspect = row.first_is_suspect;
  agent.Step({EntryMessage{{kLink}, start}});
  start.sequence = 2;
  start.run = MakeRunKey(1);
  start.is_suspect = row.second_is_suspect;
  const auto effects = agent.Step({EntryMessage{{kLink}, start}});
  CHECK(SelectMessages<StartRefused>(effects).size() == row.refused);
  const auto reports = SelectMessages<LoadReport>(effects);
  if (row.refused == 0) return;
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].second.has_suspect);
}

TEST_CASE("A new link is told of recent crashes with their age",
          "[pool][agent][crash]") {
  // Guards against an entry that has started since a crash and starts the task
  // again as if it were new.
  const auto age = GENERATE(values({milliseconds{700}, milliseconds{90'000}}));
  CAPTURE(age.count());
  AgentFixture agent;
  agent.AddEntry(kLink, 100);
  StartAndConfirm(&agent, MakeRunKey(0));
  LapseLease(&agent, 2);
  agent.AdvanceTime(age);
  const Endpoint address{"10.0.0.77", 7720};
  agent.Step({EntriesRegistered{{address}}});
  const auto crashes =
      ReportedCrashes(agent.Step({EntryDialed{address, LinkId{9}}}));
  REQUIRE(crashes.size() == 1);
  CHECK(crashes[0].first == 9);
  CHECK(crashes[0].second.age == age);
}

}  // namespace dottereltrack::pool
