#include <algorithm>
#include <catch2/catch.hpp>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/evacuation.h"
#include "core/pool/entry/submission.h"
#include "core/pool/entry/unstarted_tasks.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x1000000000000001;
// The fixture's agents are in this data centre.
constexpr const char* kName = "north";
constexpr LinkId kPeer{50};

EvacuationsRead Evacuated(std::uint64_t revision) {
  return {{{{kName, revision, true}}, revision, {}}};
}
EvacuationsRead NotEvacuated(std::uint64_t revision) {
  return {{{}, revision, {}}};
}
EvacuationList MakeList(std::uint64_t revision, bool is_active) {
  return {{{kName, revision, is_active}}};
}

// Positions of the kinds of messages that are sent over a link.
template <typename T>
int PositionOf(const std::vector<EntryEffect>& effects, LinkId link) {
  const auto sent = SelectEffects<SendMessage>(effects);
  const auto it = std::find_if(sent.begin(), sent.end(), [&](const auto& s) {
    return s.link == link && std::holds_alternative<T>(s.message);
  });
  return it == sent.end() ? -1 : static_cast<int>(it - sent.begin());
}

TEST_CASE("Waiting tasks are placed outside evacuated data centres",
          "[pool][entry][evacuation]") {
  // Guards against a start in an evacuated data centre, from either source of
  // the news.
  const bool is_from_agent = GENERATE(false, true);
  EntryFixture entry;
  entry.AddAgent(1, "fast", ResourcesFor(4), -1);
  entry.AddAgent(2, "slow", ResourcesFor(4), 0, "south");
  const auto effects =
      is_from_agent ? entry.Step({MessageReceived{{1}, MakeList(10, true)}})
                    : entry.Step({Evacuated(10)});
  const auto decisions = SelectEffects<Decision>(effects);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].event == "evacuation_started");
  for (const auto& [link, start] :
       SelectMessages<StartRun>(entry.Submit(kJob, 6))) {
    CHECK(link == 2);
  }
  CHECK(CountWaitingTasks(entry.board) == 2);
  // After the end, the fast minion serves the rest.
  const auto started = SelectMessages<StartRun>(entry.Step({NotEvacuated(20)}));
  REQUIRE(started.size() == 2);
  CHECK(started[0].first == 1);
}

TEST_CASE("A job that only an evacuated data centre can run is refused at once",
          "[pool][entry][evacuation]") {
  // Guards against callers that wait for a minion that will not come, against
  // refusals while other minions can run the job, and against a false claim
  // that a job has not run.
  struct Row {
    const char* name;
    // Service of the minion in another data centre; empty if there is none.
    std::string other_service;
    milliseconds age;
    bool is_refused;
  };
  const auto row = GENERATE(
      values<Row>({{"only there", "", seconds{60}, true},
                   {"also elsewhere", "menus", seconds{60}, false},
                   {"elsewhere another service", "other", seconds{60}, true},
                   {"the entry has just started", "", seconds{1}, false}}));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.board.started_at = entry.now.boot - row.age;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  if (!row.other_service.empty()) {
    entry.AddAgent(2, "m2", ResourcesFor(1), 0, "south", row.other_service);
  }
  // The first job has begun, the second waits.
  entry.Submit(kJob, 2);
  entry.Submit(kJob + 1, 1);
  auto replies = SelectEffects<Reply>(entry.Step({Evacuated(10)}));
  const std::vector<Reply> refusal{
      {{2}, ReplyKind::kNoMinions, milliseconds{1'000}}};
  CHECK(replies == (row.is_refused ? refusal : std::vector<Reply>{}));
  CHECK(entry.board.jobs.Find(kJob)->state == JobState::kActive);
  const auto effects = entry.Submit(kJob + 2, 1);
  replies = SelectEffects<Reply>(effects);
  REQUIRE(replies.size() == (row.is_refused ? 1 : 0));
  if (row.is_refused) CHECK(replies[0].kind == ReplyKind::kNoMinions);
  // It is refused before it is accepted, and leaves nothing.
  CHECK(entry.board.jobs.Contains(kJob + 2) == !row.is_refused);
  const auto decisions = SelectEffects<Decision>(effects);
  CHECK(std::count_if(decisions.begin(), decisions.end(), [](const auto& it) {
          return it.event == "job_refused";
        }) == (row.is_refused ? 1 : 0));
}

TEST_CASE("Admission counts only the capacity that is usable",
          "[pool][entry][evacuation]") {
  // Guards against accepting jobs for room that an evacuation has taken, and
  // for room that has not returned yet.
  struct Row {
    std::optional<milliseconds> since_end;
    int backlog_factor;
  };
  const auto row = GENERATE(values<Row>(
      {{{}, 2}, {milliseconds{1'000}, 0}, {milliseconds{3'000}, 1}}));
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.AddAgent(2, "m2", ResourcesFor(4), 0, "south");
  entry.Submit(kJob, 100, seconds{60});
  const auto full = EstimateDrainTime(entry.board, "menus", entry.now);
  entry.Step({Evacuated(10)});
  if (row.since_end) {
    entry.Step({NotEvacuated(20)});
    entry.now.boot += *row.since_end;
  }
  const auto delay = EstimateDrainTime(entry.board, "menus", entry.now);
  if (row.backlog_factor > 0) {
    CHECK(delay == full * row.backlog_factor);
  } else {
    CHECK((delay > full && delay < 2 * full));
  }
}

TEST_CASE("Evacuations are sent over each link once, before anything to run",
          "[pool][entry][evacuation]") {
  // Guards against a new entry or agent that starts tasks before it hears of an
  // evacuation, and against messages that repeat for ever.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  CHECK(SelectMessages<EvacuationList>(entry.Step({Evacuated(10)})).size() ==
        1);
  CHECK(SelectMessages<EvacuationList>(entry.Step({Evacuated(10)})).empty());
  // The key was removed and written again.
  CHECK(SelectMessages<EvacuationList>(entry.Step({Evacuated(15)})).size() ==
        1);
  const Endpoint peer{"10.0.0.2", 7000};
  entry.Step({EntrySeedsRead{{peer}}});
  auto effects = entry.Step({PeerDialed{peer, kPeer}});
  const int position = PositionOf<EvacuationList>(effects, kPeer);
  CHECK(position > PositionOf<EntryHello>(effects, kPeer));
  CHECK(position < PositionOf<ConfigAnnouncement>(effects, kPeer));
  CHECK(SelectMessages<EvacuationList>(entry.Step({NotEvacuated(20)})).size() ==
        2);
  CHECK(SelectMessages<EvacuationList>(entry.AdvanceTime(seconds{1})).empty());
  // A newer end of the same evacuation changes nothing.
  CHECK(SelectMessages<EvacuationList>(entry.Step({NotEvacuated(30)})).empty());
}

TEST_CASE("A process with old news gets the newer ones",
          "[pool][entry][evacuation]") {
  // Guards against a withdrawn evacuation that stays at a process which the
  // store turns away, and against news that are sent back to where they are
  // from.
  struct Row {
    EvacuationList received;
    std::size_t answers;
  };
  const auto row = GENERATE(values<Row>({{MakeList(10, true), 1},
                                         {MakeList(20, false), 0},
                                         {MakeList(30, true), 0}}));
  EntryFixture entry;
  entry.Step({Evacuated(10)});
  entry.Step({NotEvacuated(20)});
  entry.Step({MessageReceived{kPeer, Ping{}}});
  const auto effects = entry.Step({MessageReceived{kPeer, row.received}});
  const auto answers = SelectMessages<EvacuationList>(effects);
  REQUIRE(answers.size() == row.answers);
  if (row.answers > 0) CHECK(answers[0].second == MakeList(20, false));
}

TEST_CASE("Without evacuations nothing is sent", "[pool][entry][evacuation]") {
  // Guards against messages that cost a deployment which has no such keys.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  std::vector<EntryEffect> effects = entry.Step({NotEvacuated(10)});
  for (auto& it : entry.Step({NotEvacuated(20)})) effects.push_back(it);
  CHECK(effects.empty());
}

}  // namespace
}  // namespace dottereltrack::pool
