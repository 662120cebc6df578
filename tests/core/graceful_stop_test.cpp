#include <catch2/catch.hpp>

#include "support/expect.h"

namespace dottereltrack::testing {

// Guards against a graceful stop that fails a call or interrupts a task (P7).
TEST_CASE("no call fails when processes are stopped under load", "[stop]") {
  struct Row {
    std::string what;
    int entries;
    int agents;
  };
  const auto row = GENERATE(values<Row>({{"dispatcher", 2, 3},
                                         {"member", 3, 3},
                                         {"both entries in turn", 3, 3},
                                         {"one agent", 2, 3},
                                         {"all agents in turn", 2, 4},
                                         {"entry and agent", 3, 4},
                                         {"minion leaves", 2, 3}}));
  const auto timed = GENERATE(true, false);
  CAPTURE(row.what, timed);
  CellOptions options;
  options.entries = row.entries;
  options.agents = row.agents;
  options.slots = 4;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const int dispatcher = cell.Dispatcher();
  // New calls go to an entry that keeps running.
  const int kept = (dispatcher + 1) % row.entries;
  std::vector<std::pair<CallId, SubmitRequest>> calls;
  const auto load = [&](int entry, int jobs) {
    for (int n = 0; n < jobs; ++n) {
      const auto request =
          MakeRequest("north", MakeKey(cell, timed, calls.size()), 3);
      calls.emplace_back(cell.Submit(entry, request), request);
      cell.RunFor(milliseconds{20});
    }
  };
  load(dispatcher, 4);
  load(kept, 4);
  if (row.what == "dispatcher" || row.what == "entry and agent") {
    cell.StopEntry(dispatcher);
  } else if (row.what == "member") {
    load((dispatcher + 2) % 3, 3);
    cell.StopEntry((dispatcher + 2) % 3);
  } else if (row.what == "both entries in turn") {
    cell.StopEntry((dispatcher + 2) % 3);
    load(kept, 5);
    cell.StopEntry(dispatcher);
  }
  if (row.what == "one agent" || row.what == "entry and agent") {
    cell.StopAgent(0);
  } else if (row.what == "minion leaves") {
    cell.AnnounceMinionLeaving(0);
  } else if (row.what == "all agents in turn") {
    for (int n = 0; n < row.agents; ++n) {
      cell.StopAgent(n);
      load(kept, 40);
      CHECK_FALSE(cell.IsAgentAlive(n));
      cell.RestartAgent(n);
      load(kept, 20);
    }
  }
  load(kept, 20);
  cell.RunFor(seconds{8});
  for (const auto& [call, request] : calls) {
    CAPTURE(request.key);
    CHECK(IsComplete(cell, call, request));
  }
  CHECK(cell.TasksStartedMoreThanOnce().empty());
  if (row.what == "dispatcher") CHECK_FALSE(cell.IsEntryAlive(dispatcher));
  if (row.what == "one agent") CHECK_FALSE(cell.IsAgentAlive(0));
}

// Guards against new tasks on a leaving minion after 2 s (P6).
TEST_CASE("a leaving minion gets no new tasks after 2 s", "[stop]") {
  const auto how = GENERATE(values<std::string>({"minion", "operator"}));
  CAPTURE(how);
  TestCell cell(CellOptions{});
  cell.RunFor(seconds{2});
  if (how == "minion") {
    cell.AnnounceMinionLeaving(0);
  } else {
    CellConfig config;
    config.drained_minions = {"minion-0"};
    cell.SetConfig(0, 0, config);
  }
  cell.RunFor(seconds{2});
  const std::size_t before = cell.agent(0).ledger.size();
  for (int n = 0; n < 10; ++n) {
    cell.Submit(n % 2, MakeRequest("north", TimedKey(cell.wall(), n), 6));
  }
  cell.RunFor(seconds{5});
  CHECK(cell.agent(0).ledger.size() == before);
  CHECK(cell.starts().size() == 60);
}

// Guards against a dispatcher without peers that never exits when it is
// stopped.
TEST_CASE("a stopping entry without peers exits when its jobs have ended",
          "[stop]") {
  CellOptions options;
  options.entries = 1;
  TestCell cell(options);
  cell.RunFor(seconds{2});
  const auto request = MakeRequest("north", TimedKey(cell.wall(), 1), 5);
  const CallId call = cell.Submit(0, request);
  cell.StopEntry(0);
  cell.RunFor(seconds{2});
  CHECK(IsComplete(cell, call, request));
  CHECK_FALSE(cell.IsEntryAlive(0));
}

}  // namespace dottereltrack::testing
