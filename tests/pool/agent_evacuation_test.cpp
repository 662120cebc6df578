#include <catch2/catch.hpp>

#include "core/pool/agent/capacity.h"
#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr const char* kName = "north";

EvacuationList MakeList(std::uint64_t revision, bool is_active,
                        const char* name = kName) {
  return {{{name, revision, is_active}}};
}

// An agent in the data centre, linked to an entry that sends no evacuations.
AgentFixture MakeAgent() {
  AgentFixture agent;
  MinionReport report = MakeMinionReport("m1", 1'000, 2);
  report.data_centre = kName;
  agent.Step({MinionReported{report}});
  agent.AddEntry(1, 100);
  return agent;
}

TEST_CASE("A start in an evacuated data centre is refused",
          "[pool][agent][evacuation]") {
  // Guards against the start of an entry that does not know of the evacuation,
  // or that was in flight; and against ending the runs in progress.
  struct Row {
    const char* name;
    EvacuationList list;
    bool is_refused;
  };
  const auto row =
      GENERATE(values<Row>({{"own data centre", MakeList(10, true), true},
                            {"another one", MakeList(10, true, "south"), false},
                            {"ended", MakeList(10, false), false}}));
  CAPTURE(row.name);
  AgentFixture agent = MakeAgent();
  agent.Start(1, MakeRunKey(0));
  agent.AddEntry(2, 200);
  auto effects = agent.Step({EntryMessage{{2}, row.list}});
  // The other entry is told, and that no starts are accepted. The sender knows.
  const auto lists = SelectMessages<EvacuationList>(effects);
  REQUIRE(lists.size() == 1);
  CHECK(lists[0].first == 1);
  CHECK(lists[0].second == row.list);
  CHECK(SelectMessages<LoadReport>(effects).size() == (row.is_refused ? 2 : 0));
  CHECK(agent.board.links.Find({1})->last_report->accepting == !row.is_refused);
  effects = agent.Start(1, MakeRunKey(1));
  CHECK(SelectEffects<CallStart>(effects).empty() == row.is_refused);
  const auto refusals = SelectMessages<StartRefused>(effects);
  REQUIRE(refusals.size() == (row.is_refused ? 1 : 0));
  if (row.is_refused) {
    CHECK(refusals[0].second.refusal == StartRefusal::kNotAccepting);
  }
  CHECK(agent.board.runs.Find(MakeRunKey(0))->phase == RunPhase::kStarting);
}

TEST_CASE("An agent hands the evacuations to an entry after its hello",
          "[pool][agent][evacuation]") {
  // Guards against a restarted entry without the store that starts tasks in an
  // evacuated data centre.
  AgentFixture agent = MakeAgent();
  agent.Step({EntryMessage{{1}, MakeList(10, true)}});
  const Endpoint address{"10.0.1.2", 7000};
  agent.Step({AgentSeedsRead{{address}}});
  const auto sent =
      SelectEffects<SendToEntry>(agent.Step({EntryDialed{address, LinkId{2}}}));
  REQUIRE(sent.size() == 2);
  CHECK(std::holds_alternative<AgentHello>(sent[0].message));
  CHECK(std::holds_alternative<EvacuationList>(sent[1].message));
  // Old news are answered with the newer ones.
  const auto answers = SelectMessages<EvacuationList>(
      agent.Step({EntryMessage{{2}, MakeList(9, false)}}));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].second == MakeList(10, true));
}

TEST_CASE("After an evacuation a minion takes runs within the returned share",
          "[pool][agent][evacuation]") {
  // Guards against runs beyond the capacity, of which some is in use when the
  // evacuation ends, and against a burst of starts on a cold minion.
  struct Row {
    milliseconds since_end;
    milliseconds cold_remaining;
    // Number of runs in progress, and of those that may start beside them.
    std::uint32_t runs;
    std::uint32_t starts;
  };
  const auto row =
      GENERATE(values<Row>({{milliseconds{0}, milliseconds{0}, 0, 1},
                            {milliseconds{0}, milliseconds{0}, 2, 0},
                            {milliseconds{1'000}, milliseconds{0}, 0, 2},
                            {milliseconds{1'000}, milliseconds{0}, 1, 1},
                            {milliseconds{3'000}, milliseconds{0}, 0, 4},
                            {milliseconds{3'000}, milliseconds{0}, 3, 1},
                            {milliseconds{3'000}, milliseconds{6'000}, 0, 2}}));
  CAPTURE(row.since_end, row.runs);
  AgentFixture agent = MakeAgent();
  for (std::uint32_t n = 0; n < row.runs; ++n) {
    agent.Start(1, MakeRunKey(n));
    agent.Step({StartAnswered{MakeRunKey(n), CallAnswer::kAccepted}});
  }
  agent.Step({EntryMessage{{1}, MakeList(10, true)}});
  agent.Step({EntryMessage{{1}, MakeList(20, false)}});
  // A poll that is answered keeps the minion accepting.
  agent.now.boot += row.since_end;
  std::vector<ListedRun> running;
  for (std::uint32_t n = 0; n < row.runs; ++n) {
    running.push_back({MakeRunKey(n), 50});
  }
  agent.AnswerPoll(running, {});
  MinionReport report = *agent.board.minion;
  report.sequence += 1;
  report.cold_remaining = row.cold_remaining;
  agent.Step({MinionReported{report}});
  std::uint32_t started = 0;
  for (std::uint32_t n = 0; n < 5; ++n) {
    const auto effects = agent.Start(1, MakeRunKey(10 + n));
    started += SelectEffects<CallStart>(effects).size();
  }
  CHECK(started == row.starts);
  CHECK(Fits({}, FreeResources(agent.board)));
}

}  // namespace
}  // namespace dottereltrack::pool
