#include "core/pool/link_subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "pool/agent_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::size_t kMaxLinks = 16;

Endpoint AddressOf(int n) {
  return {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1),
          7720};
}

Table<KnownEntry> KnownEntriesOf(int count) {
  Table<KnownEntry> known;
  for (int n = 0; n < count; ++n) {
    KnownEntry entry;
    entry.address = AddressOf(n);
    entry.registered = true;
    known.Put(entry);
  }
  return known;
}

std::vector<Endpoint> WantedOf(const Table<KnownEntry>& known,
                               std::uint64_t process) {
  std::vector<Endpoint> wanted;
  for (const KnownEntry* it : ChooseEntries(known, {process, kMaxLinks}).wanted)
    wanted.push_back(it->address);
  std::sort(wanted.begin(), wanted.end());
  return wanted;
}

TEST_CASE("A process links to a bounded number of entries, evenly chosen",
          "[pool][links]") {
  // Guards against links that grow with the pool, and against entries that get
  // few agents.
  struct Row {
    int entries;
    std::size_t wanted;
  };
  const auto row = GENERATE(
      values<Row>({{0, 0}, {3, 3}, {16, 16}, {17, 16}, {47, 16}, {300, 16}}));
  CAPTURE(row.entries);
  const auto known = KnownEntriesOf(row.entries);
  constexpr int kProcesses = 600;
  std::map<Endpoint, int> links;
  for (int n = 1; n <= kProcesses; ++n) {
    const auto wanted = WantedOf(known, n);
    REQUIRE(wanted.size() == row.wanted);
    for (const Endpoint& it : wanted) ++links[it];
  }
  for (int n = 0; n < row.entries; ++n) {
    const int mean = kProcesses * static_cast<int>(row.wanted) / row.entries;
    CHECK(links[AddressOf(n)] >= mean / 2);
    CHECK(links[AddressOf(n)] <= mean * 2);
  }
}

TEST_CASE("An entry that leaves changes the choice by that entry only",
          "[pool][links]") {
  // Guards against a restart of one entry that makes all agents reconnect.
  const auto known = KnownEntriesOf(47);
  auto smaller = known;
  smaller.Erase(AddressOf(5));
  for (std::uint64_t process = 1; process <= 200; ++process) {
    const auto before = WantedOf(known, process);
    const auto after = WantedOf(smaller, process);
    std::vector<Endpoint> lost;
    std::set_difference(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(lost));
    const bool had_it =
        std::binary_search(before.begin(), before.end(), AddressOf(5));
    REQUIRE(lost == (had_it ? std::vector<Endpoint>{AddressOf(5)}
                            : std::vector<Endpoint>{}));
    REQUIRE(after.size() == kMaxLinks);
  }
}

TEST_CASE("An entry that cannot be reached is dialed beside its substitute",
          "[pool][links]") {
  // Guards against processes that stay with fewer links, and against entries
  // that get no links back after they return.
  struct Row {
    const char* name;
    std::uint32_t failed_dials;
    bool has_link;
    std::size_t dialed;
  };
  const auto row = GENERATE(values<Row>({{"new", 0, false, kMaxLinks},
                                         {"failed", 1, false, kMaxLinks + 1},
                                         {"back", 0, true, kMaxLinks - 1}}));
  CAPTURE(row.name);
  auto known = KnownEntriesOf(47);
  KnownEntry changed = *ChooseEntries(known, {7, kMaxLinks}).wanted.front();
  changed.failed_dials = row.failed_dials;
  if (row.has_link) changed.link = LinkId{1};
  known.Put(changed);
  Now now;
  now.boot = seconds{100};
  const DialPlan plan = PlanDials(known, {7, kMaxLinks}, now);
  CHECK(plan.dial.size() == row.dialed);
  CHECK(plan.surplus.empty());
}

TEST_CASE("A surplus link takes no new starts and closes when its runs ended",
          "[pool][agent][links]") {
  // Guards against runs that are stopped because their link is not needed.
  AgentFixture agent;
  agent.board.settings.max_entry_links = 1;
  agent.AddEntry(1, 100);
  agent.Start(1, MakeRunKey(0));
  agent.Step({StartAnswered{MakeRunKey(0), CallAnswer::kAccepted}});
  // The link of the wanted entry returns while its substitute has a run.
  const Endpoint linked = agent.board.links.begin()->second.address;
  Endpoint preferred;
  for (int n = 0; preferred.host.empty(); ++n) {
    Table<KnownEntry> both;
    for (const Endpoint& it : {linked, AddressOf(n)}) {
      KnownEntry entry;
      entry.address = it;
      both.Put(entry);
    }
    const auto choice = ChooseEntries(both, {agent.board.settings.id, 1});
    if (choice.wanted.front()->address != linked) preferred = AddressOf(n);
  }
  agent.Step({EntriesRegistered{{linked, preferred}}});
  const auto effects = agent.Step({EntryDialed{preferred, LinkId{2}}});
  const auto reports = SelectMessages<LoadReport>(effects);
  REQUIRE(std::any_of(reports.begin(), reports.end(), [](const auto& it) {
    return it.first == 1 && !it.second.accepting;
  }));
  const auto delay = agent.board.settings.link_retirement_delay;
  for (int n = 0; n < 4; ++n) {
    const auto later = agent.AdvanceTime(delay / 4);
    CHECK(SelectEffects<AbortEntryLink>(later).empty());
    if (agent.board.poll.in_flight) {
      agent.AnswerPoll({{MakeRunKey(0), 10 * (n + 1)}}, {});
    }
  }
  CHECK(SelectEffects<AbortEntryLink>(agent.AdvanceTime(milliseconds{25}))
            .empty());
  agent.AnswerPoll({}, {{1, MakeRunKey(0), RunEnd::kDone}});
  const auto closed =
      SelectEffects<AbortEntryLink>(agent.AdvanceTime(milliseconds{25}));
  REQUIRE(closed.size() == 1);
  CHECK(closed[0].link == LinkId{1});
}

}  // namespace
}  // namespace dottereltrack::pool
