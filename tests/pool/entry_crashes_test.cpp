#include <catch2/catch.hpp>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/crashes.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;
constexpr TaskKey kTask{kJob, 0, 0};
constexpr int kMinions = 4;
constexpr milliseconds kLongTime{3'600'000};

CrashReport MakeReport(const std::string& minion, const TaskKey& task,
                       milliseconds age = milliseconds{0}) {
  return {{minion, 1'000}, {{task}, {}}, age};
}

// A report of a crash that may not have happened.
CrashReport MakePossibleReport(const std::string& minion, const TaskKey& task) {
  return {{minion, 1'000}, {{}, {task}}, milliseconds{0}};
}

// A crash as the agent of a minion reports it over its link.
EntryEvent AgentReport(std::uint64_t link, const CrashReport& report) {
  const AgentHello hello{link, report.minion.id, "menus", "north",
                         "r1", ResourcesFor(4),  {report}};
  return MessageReceived{{link}, hello};
}

// A crash as another entry reports it.
EntryEvent PeerReport(const CrashReport& report) {
  return MessageReceived{{90}, EntryHello{9, {}, {report}}};
}

void AddAgents(EntryFixture* entry) {
  for (std::uint64_t n = 1; n <= kMinions; ++n) {
    entry->AddAgent(n, "m" + std::to_string(n), ResourcesFor(4));
  }
}

// Lets the minion of a start crash; returns the effects of the run's end.
std::vector<EntryEffect> CrashMinion(EntryFixture* entry, std::uint64_t link,
                                     const StartRun& start) {
  const std::string minion = "m" + std::to_string(link);
  return entry->Step(
      {AgentReport(link, MakeReport(minion, start.run.task)),
       MessageReceived{{link}, RunEnded{start.run, RunEnd::kLost, {}}}});
}

std::vector<ReplyKind> RepliesOf(const std::vector<EntryEffect>& effects) {
  std::vector<ReplyKind> kinds;
  for (const Reply& it : SelectEffects<Reply>(effects))
    kinds.push_back(it.kind);
  return kinds;
}

}  // namespace

TEST_CASE("A job fails when two minions have crashed under one of its tasks",
          "[pool][entry][crash]") {
  // Guards against a task that is started on minion after minion because runs
  // that end with their minion do not count as attempts.
  EntryFixture entry;
  AddAgents(&entry);
  auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  REQUIRE(starts.size() == 1);
  const auto first = CrashMinion(&entry, starts[0].first, starts[0].second);
  CHECK(RepliesOf(first).empty());
  starts = SelectMessages<StartRun>(first);
  REQUIRE(starts.size() == 1);
  const auto second = CrashMinion(&entry, starts[0].first, starts[0].second);
  CHECK(RepliesOf(second) == std::vector{ReplyKind::kFailed});
  CHECK(SelectMessages<StartRun>(second).empty());
  CHECK(RepliesOf(entry.Submit(kJob, 1)) == std::vector{ReplyKind::kFailed});
}

TEST_CASE("Crashes count once for each instance of a minion",
          "[pool][entry][crash]") {
  // Guards against a job that fails because one crash was reported twice, and
  // against crashes that count for other tasks or forever.
  struct Row {
    const char* name;
    std::vector<CrashReport> reports;
    CrashCount crashes;
  };
  const TaskKey other{kJob, 0, 1};
  const auto row = GENERATE_COPY(values<Row>({
      {"none", {}, {0, 0}},
      {"one", {MakeReport("m1", kTask)}, {1, 0}},
      {"the same from two senders",
       {MakeReport("m1", kTask), MakeReport("m1", kTask, milliseconds{40})},
       {1, 0}},
      {"two minions",
       {MakeReport("m1", kTask), MakeReport("m2", kTask)},
       {2, 0}},
      {"two instances under one id",
       {MakeReport("m1", kTask), {{"m1", 2'000}, {{kTask}, {}}, {}}},
       {2, 0}},
      {"another task",
       {MakeReport("m1", kTask), MakeReport("m2", other)},
       {1, 0}},
      {"the rest of the tasks comes later",
       {MakeReport("m1", other), MakeReport("m1", kTask)},
       {1, 0}},
      {"possible", {MakePossibleReport("m1", kTask)}, {0, 1}},
      {"possible, then certain",
       {MakePossibleReport("m1", kTask), MakeReport("m1", kTask)},
       {1, 0}},
      {"certain, then possible",
       {MakeReport("m1", kTask), MakePossibleReport("m1", kTask)},
       {1, 0}},
      {"an hour ago", {MakeReport("m1", kTask, kLongTime)}, {1, 0}},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  for (const CrashReport& it : row.reports) entry.Step({PeerReport(it)});
  CHECK(CountCrashes(entry.board, kTask) == row.crashes);
  // The client may submit its job again for as long as it likes.
  entry.AdvanceTime(kLongTime);
  CHECK(CountCrashes(entry.board, kTask) == row.crashes);
}

TEST_CASE("An entry remembers a bounded number of crashes",
          "[pool][entry][crash]") {
  // Guards against memory that grows with each crash, and against forgetting a
  // task that crashes minion after minion before those beside it.
  constexpr int kLimit = 8;
  EntryFixture entry;
  entry.board.settings.max_crashes = kLimit;
  for (int n = 0; n < 4; ++n) {
    entry.Step({PeerReport(MakeReport("deadly" + std::to_string(n), kTask))});
  }
  for (std::uint64_t n = 1; n <= 10 * kLimit; ++n) {
    const TaskKey bystander{kJob + n, 0, 0};
    entry.Step({PeerReport(MakeReport("m" + std::to_string(n), bystander))});
    entry.AdvanceTime(milliseconds{25});
    CHECK(entry.board.crashes.size() <= kLimit);
    CHECK(entry.board.crash_counts.size() <= kLimit);
  }
  CHECK(CountCrashes(entry.board, kTask).Total() == 4);
  const TaskKey last{kJob + 10 * kLimit, 0, 0};
  CHECK(CountCrashes(entry.board, last).Total() == 1);
  // A report that is older than all is neither kept nor passed on.
  entry.Step({PeerReport(MakeReport("old", {kJob, 0, 1}, kLongTime))});
  CHECK(CountCrashes(entry.board, {kJob, 0, 1}).Total() == 0);
}

TEST_CASE(
    "A task is started at most once after three crashes, however long its "
    "client goes on",
    "[pool][entry][crash]") {
  // Guards against a count that starts anew after a while: the review's client
  // submitted its job again for 62 s and crashed four minions more.
  EntryFixture entry;
  AddAgents(&entry);
  int starts_after_three = 0;
  int crashes = 0;
  for (int attempt = 0; attempt < 200; ++attempt) {
    auto effects = entry.Submit(kJob, 1, milliseconds{1'500});
    auto starts = SelectMessages<StartRun>(effects);
    while (!starts.empty()) {
      if (crashes >= 3) ++starts_after_three;
      const auto [link, start] = starts[0];
      const std::string instance = "i" + std::to_string(++crashes);
      effects = entry.Step(
          {AgentReport(link, MakePossibleReport(instance, start.run.task)),
           MessageReceived{{link}, RunEnded{start.run, RunEnd::kLost, {}}}});
      starts = SelectMessages<StartRun>(effects);
      if (starts.empty()) {
        entry.AddAgent(link, "m" + std::to_string(link), ResourcesFor(4));
      }
    }
    entry.AdvanceTime(milliseconds{2'800});
  }
  CHECK(crashes == 4);
  CHECK(starts_after_three == 1);
}

TEST_CASE("Earlier crashes under a job decide whether an entry starts it",
          "[pool][entry][crash]") {
  // Guards against a task that gets its attempts anew when its client submits
  // it to another entry, and against a job shown as failed although its task
  // may not have begun on minions that crashed or may not have crashed.
  struct Row {
    int certain;
    int possible;
    std::size_t starts;
    std::vector<ReplyKind> replies;
  };
  const auto row = GENERATE(values<Row>({{0, 0, 2, {}},
                                         {1, 0, 2, {}},
                                         {0, 3, 2, {}},
                                         {1, 2, 2, {}},
                                         {2, 0, 0, {ReplyKind::kFailed}},
                                         {1, 3, 0, {ReplyKind::kGivenUp}},
                                         {0, 4, 0, {ReplyKind::kGivenUp}}}));
  CAPTURE(row.certain, row.possible);
  EntryFixture entry;
  AddAgents(&entry);
  for (int n = 0; n < row.certain + row.possible; ++n) {
    const std::string minion = "old" + std::to_string(n);
    entry.Step(
        {PeerReport(n < row.certain ? MakeReport(minion, kTask)
                                    : MakePossibleReport(minion, kTask))});
  }
  const auto effects = entry.Submit(kJob, 2);
  CHECK(SelectMessages<StartRun>(effects).size() == row.starts);
  CHECK(RepliesOf(effects) == row.replies);
}

TEST_CASE("A job that has failed elsewhere is not refused",
          "[pool][entry][crash]") {
  // Guards against an entry that is stopping and sends the client of a job that
  // has crashed two minions on to the next entry.
  EntryFixture entry;
  entry.Step({PeerReport(MakeReport("old1", kTask)),
              PeerReport(MakeReport("old2", kTask))});
  entry.Step({EntryStopRequested{}});
  entry.now.boot += entry.board.settings.max_shutdown_time;
  CHECK(RepliesOf(entry.Submit(kJob, 1)) == std::vector{ReplyKind::kFailed});
}

TEST_CASE("A run in progress is not stopped by an earlier crash of its task",
          "[pool][entry][crash]") {
  // Guards against failing a job whose task was only near two crashes and may
  // still be done.
  EntryFixture entry;
  AddAgents(&entry);
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  REQUIRE(starts.size() == 1);
  const auto reported = entry.Step({PeerReport(MakeReport("old1", kTask)),
                                    PeerReport(MakeReport("old2", kTask))});
  CHECK(RepliesOf(reported).empty());
  CHECK(SelectMessages<StopRun>(reported).empty());
  const auto done = entry.Step({MessageReceived{
      {starts[0].first}, RunEnded{starts[0].second.run, RunEnd::kDone, {}}}});
  CHECK(RepliesOf(done) == std::vector{ReplyKind::kCompleted});
}

TEST_CASE("A minion gets one suspect task at a time, the least used one first",
          "[pool][entry][crash]") {
  // Guards against blaming a task for a crash that another suspect on the same
  // minion has caused, and against suspects that crash a minion full of others.
  struct Row {
    const char* name;
    // Whether each agent reports a suspect task, and its free room in tasks.
    std::vector<std::pair<bool, int>> agents;
    std::vector<std::uint64_t> links;
  };
  const auto row = GENERATE(values<Row>({
      {"two free minions for three suspects", {{false, 4}, {false, 4}}, {1, 2}},
      {"one has a suspect", {{true, 4}, {false, 4}}, {2}},
      {"both have a suspect", {{true, 4}, {true, 4}}, {}},
      {"the least used first", {{false, 1}, {false, 3}, {false, 2}}, {2, 3, 1}},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  std::uint64_t link = 0;
  for (const auto& [has_suspect, room] : row.agents) {
    ++link;
    entry.AddAgent(link, "m" + std::to_string(link), ResourcesFor(4));
    const LoadReport load{0, ResourcesFor(room), true, true, 0, has_suspect};
    entry.Step({MessageReceived{{link}, load}});
  }
  CrashReport report = MakeReport("old", kTask);
  report.suspects.certain = {{kJob, 0, 0}, {kJob, 0, 1}, {kJob, 0, 2}};
  entry.Step({PeerReport(report)});
  std::vector<std::uint64_t> links;
  for (const auto& [to, start] :
       SelectMessages<StartRun>(entry.Submit(kJob, 3))) {
    CHECK(start.is_suspect);
    links.push_back(to);
  }
  CHECK(links == row.links);
}

TEST_CASE("Suspect tasks are placed after all others and delay no new job",
          "[pool][entry][crash]") {
  // Guards against tasks that may crash a minion taking the room of those that
  // do not, and against refusing new jobs because suspects wait.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  const LoadReport full{0, ResourcesFor(0), true, true, 0};
  entry.Step({MessageReceived{{1}, full}});
  entry.Step({PeerReport(MakeReport("old", kTask))});
  entry.Submit(kJob, 1);
  CHECK(EstimateBacklogDelay(entry.board, "menus", entry.now) ==
        milliseconds{0});
  entry.Submit(kJob + 1, 1);
  CHECK(EstimateBacklogDelay(entry.board, "menus", entry.now) >
        milliseconds{0});
  const LoadReport idle{0, ResourcesFor(1), true, true, 0};
  entry.Step({MessageReceived{{1}, idle}});
  std::vector<std::uint64_t> placed;
  for (const auto& [key, task] : entry.board.tasks) {
    if (task.state == TaskState::kPlaced) placed.push_back(key.job);
  }
  CHECK(placed == std::vector<std::uint64_t>{kJob + 1});
}

TEST_CASE("A crash is passed on to the other entries once",
          "[pool][entry][crash]") {
  // Guards against entries that do not know of crashes under a job that comes
  // to them next, and against reports that circulate among entries.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  const Endpoint peer{"10.0.0.2", 7000};
  entry.Step({EntriesListed{{peer}}});
  entry.Step({PeerDialed{peer, LinkId{50}}});
  const CrashReport report = MakeReport("m1", kTask);
  const auto passed_on =
      SelectMessages<EntryHello>(entry.Step({AgentReport(1, report)}));
  REQUIRE(passed_on.size() == 1);
  CHECK(passed_on[0].first == 50);
  CHECK(passed_on[0].second.crashes == std::vector{report});
  CHECK(SelectMessages<EntryHello>(entry.Step({PeerReport(report)})).empty());
  // An entry that starts later learns of the crash with its age.
  const Endpoint late_peer{"10.0.0.3", 7000};
  entry.AdvanceTime(milliseconds{200});
  entry.Step({EntriesListed{{peer, late_peer}}});
  const auto hellos = SelectMessages<EntryHello>(
      entry.Step({PeerDialed{late_peer, LinkId{51}}}));
  REQUIRE(hellos.size() == 1);
  CHECK(hellos[0].second.crashes ==
        std::vector{MakeReport("m1", kTask, milliseconds{200})});
}

}  // namespace dottereltrack::pool
