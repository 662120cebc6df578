#include <catch2/catch.hpp>

#include "pool/agent_fixture.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kLargeBytes = 200'000;
constexpr std::uint32_t kFastLinkMbps = 200;

EntryMessage Announce(std::uint64_t link, std::uint64_t version,
                      std::uint64_t bytes = kLargeBytes,
                      std::uint32_t link_mbps = kFastLinkMbps) {
  return {{link}, ConfigAnnouncement{version, bytes, link_mbps}};
}

struct ConfigAgent : AgentFixture {
  ConfigAgent() {
    AddEntry(1, 11);
    AddEntry(2, 12);
  }
  void Keep(std::uint64_t version, const std::string& text) {
    Step({EntryMessage{{1}, ConfigOffer{version, text}}});
  }
  // Requests that the agent sends while the time passes in steps of 100 ms.
  std::size_t CountRequests(milliseconds time) {
    std::size_t count = 0;
    for (milliseconds t{0}; t < time; t += milliseconds{100}) {
      count +=
          SelectMessages<ConfigRequest>(AdvanceTime(milliseconds{100})).size();
    }
    return count;
  }
};

TEST_CASE("An agent keeps one configuration and requests only newer ones",
          "[pool][agent][config]") {
  // Guards against transfers that agents do not need, over links that are slow,
  // and of texts that take up their memory.
  struct Row {
    const char* name;
    std::uint64_t kept;
    EntryMessage announcement;
    std::size_t requests;
  };
  const auto row = GENERATE(values<Row>({
      {"first", 0, Announce(1, 5), 1},
      {"newer", 4, Announce(1, 5), 1},
      {"the same", 5, Announce(1, 5), 0},
      {"older", 6, Announce(1, 5), 0},
      {"none", 0, Announce(1, 0, 0), 0},
      {"slow link", 0, Announce(1, 5, kLargeBytes, 62), 0},
      {"unknown link", 0, Announce(1, 5, kLargeBytes, 0), 0},
      {"too large", 0, Announce(1, 5, 2U << 20), 0},
  }));
  CAPTURE(row.name);
  ConfigAgent agent;
  if (row.kept > 0) agent.Keep(row.kept, "kept");
  agent.AdvanceTime(seconds{120});
  CHECK(SelectMessages<ConfigRequest>(agent.Step({row.announcement})).empty());
  // The entries exchange a change in the first seconds.
  CHECK(agent.CountRequests(seconds{4}) == 0);
  CHECK(agent.CountRequests(seconds{5}) == row.requests);
}

TEST_CASE("An agent takes few of many versions", "[pool][agent][config]") {
  // Load: a large configuration that changes three times a second for 5 min.
  // Guards against 220 kB a change on the link of each agent.
  ConfigAgent agent;
  std::uint64_t version = 1;
  std::size_t requests = 0;
  for (int n = 0; n < 900; ++n) {
    agent.Step({Announce(1, ++version)});
    const auto asked = agent.CountRequests(milliseconds{300});
    requests += asked;
    if (asked > 0) agent.Keep(version, "text");
  }
  CHECK(requests >= 5);
  CHECK(requests <= 10);
}

TEST_CASE("An agent hands its copy to an entry with an older version",
          "[pool][agent][config]") {
  // Guards against entries that have all restarted while the store is away and
  // refuse all jobs, and against a copy that replaces a newer version.
  struct Row {
    std::uint64_t kept;
    std::uint64_t announced;
    std::size_t answers;
  };
  const auto row =
      GENERATE(values<Row>({{5, 0, 1}, {5, 4, 1}, {5, 5, 0}, {0, 0, 0}}));
  CAPTURE(row.kept, row.announced);
  ConfigAgent agent;
  if (row.kept > 0) agent.Keep(row.kept, "kept");
  agent.Keep(row.kept - (row.kept > 0 ? 1 : 0), "older");
  const auto answers = SelectMessages<ConfigAnnouncement>(
      agent.Step({Announce(2, row.announced, 0)}));
  REQUIRE(answers.size() == row.answers);
  const auto offers = SelectMessages<ConfigOffer>(
      agent.Step({EntryMessage{{2}, ConfigRequest{row.kept}}}));
  REQUIRE(offers.size() == (row.kept > 0 ? 1U : 0U));
  if (row.answers == 0) return;
  CHECK(answers[0].first == 2);
  CHECK(answers[0].second.version == row.kept);
  CHECK(*offers[0].second.text == "kept");
}

TEST_CASE("An agent asks another entry if one does not answer",
          "[pool][agent][config]") {
  // Guards against a request to a dead entry that ends all further ones.
  const auto closed = GENERATE(false, true);
  CAPTURE(closed);
  ConfigAgent agent;
  agent.Step({Announce(1, 5), Announce(2, 5)});
  REQUIRE(agent.CountRequests(seconds{10}) >= 1);
  const auto asked = agent.board.kept_config.asked;
  REQUIRE(asked);
  if (closed) agent.Step({EntryLinkClosed{*asked}});
  CHECK(agent.CountRequests(seconds{6}) >= 1);
}

TEST_CASE("Entries announce their configuration to agents sparingly",
          "[pool][entry][config]") {
  // Guards against messages to each agent for each change, and against an entry
  // without a configuration that does not say so.
  struct Row {
    std::uint64_t version;
    double link_mbps;
    std::size_t first;
    std::size_t after_changes;
  };
  const auto row = GENERATE(values<Row>(
      {{0, 19, 1, 0}, {0, 200, 1, 0}, {6, 19, 0, 0}, {6, 200, 1, 2}}));
  CAPTURE(row.version, row.link_mbps);
  EntryFixture entry;
  entry.board.config.version = row.version;
  entry.board.settings.config_transfer.link_mbps = row.link_mbps;
  entry.AddAgent(4, "m1", ResourcesFor(1));
  std::size_t count = 0;
  const auto tick = [&] {
    const auto effects = entry.AdvanceTime(milliseconds{100});
    count += SelectMessages<ConfigAnnouncement>(effects).size();
  };
  tick();
  CHECK(count == row.first);
  count = 0;
  for (int n = 0; n < 110; ++n) {
    if (row.version > 0) ++entry.board.config.version;
    tick();
  }
  CHECK(count == row.after_changes);
}

}  // namespace
}  // namespace dottereltrack::pool
