#include <catch2/catch.hpp>

#include "core/pool/config_transfer.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kLargeBytes = 200'000;
// Of the smallest machine of the heavy-load deployments.
constexpr double kSlowLinkMbps = 19;
constexpr milliseconds kTick{25};

// An entry with a slow link, connected to peers that the test plays.
struct ConfigFixture : EntryFixture {
  ConfigFixture() { board.settings.config_transfer.link_mbps = kSlowLinkMbps; }

  std::vector<EntryEffect> Announce(std::uint64_t link, std::uint64_t version,
                                    std::uint64_t bytes = kLargeBytes,
                                    std::uint32_t link_mbps = 200) {
    return Step({MessageReceived{
        {link}, ConfigAnnouncement{version, bytes, link_mbps}}});
  }

  // Advances in ticks. Returns the links over which a configuration was
  // requested, in order.
  std::vector<std::uint64_t> RequestsWithin(milliseconds time) {
    std::vector<std::uint64_t> links;
    for (milliseconds t{0}; t < time; t += kTick) {
      for (const auto& [link, request] :
           SelectMessages<ConfigRequest>(AdvanceTime(kTick))) {
        links.push_back(link);
      }
    }
    return links;
  }

  milliseconds RequestDelayFor(std::uint64_t bytes) const {
    return RequestDelay(board.settings.config_transfer, bytes);
  }
};

PoolConfig MakeVersion(std::uint64_t version) { return {version, {}}; }

TEST_CASE("Each version is announced once on a link to another entry",
          "[pool][entry][config]") {
  // Guards against entries that the store refuses and that never learn of a
  // change, and against sending large configurations that nobody needs.
  ConfigFixture entry;
  entry.Step({EntriesListed{{{"10.0.0.2", 7000}}}});
  const auto dialed = entry.Step({PeerDialed{{"10.0.0.2", 7000}, LinkId{8}}});
  const auto first = SelectMessages<ConfigAnnouncement>(dialed);
  REQUIRE(first.size() == 1);
  CHECK(first[0].first == 8);
  CHECK(first[0].second == ConfigAnnouncement{1, 6, 19});
  CHECK(SelectMessages<ConfigOffer>(dialed).empty());
  CHECK(SelectMessages<ConfigAnnouncement>(entry.AdvanceTime(kTick)).empty());
  const auto next = SelectMessages<ConfigAnnouncement>(
      entry.Step({ConfigRead{MakeVersion(2), std::string("two")}}));
  REQUIRE(next.size() == 1);
  CHECK(next[0].second.version == 2);
}

TEST_CASE("An announcement is answered if it is of an older version",
          "[pool][entry][config]") {
  // Guards against an entry that has restarted and waits for the others to
  // dial it.
  struct Row {
    std::uint64_t announced;
    std::size_t answers;
  };
  const auto row = GENERATE(values<Row>({{0, 1}, {1, 0}, {2, 0}}));
  CAPTURE(row.announced);
  ConfigFixture entry;
  CHECK(SelectMessages<ConfigAnnouncement>(entry.Announce(3, row.announced))
            .size() == row.answers);
  CHECK(SelectMessages<ConfigAnnouncement>(entry.Announce(3, row.announced))
            .empty());
}

TEST_CASE("A configuration is requested when the store does not bring it",
          "[pool][entry][config]") {
  // Guards against transfers beside the store's answer, and against entries
  // without a configuration that wait.
  struct Row {
    const char* name;
    std::uint64_t known;
    std::uint64_t announced;
    std::uint64_t bytes;
    bool at_once;
    bool later;
  };
  const auto row = GENERATE(values<Row>({
      {"large", 5, 6, kLargeBytes, false, true},
      {"small", 5, 6, 6'000, true, true},
      {"none is known", 0, 6, kLargeBytes, true, true},
      {"the same", 5, 5, kLargeBytes, false, false},
      {"older", 5, 4, kLargeBytes, false, false},
  }));
  CAPTURE(row.name);
  ConfigFixture entry;
  entry.board.config.version = row.known;
  const auto delay = entry.RequestDelayFor(row.bytes);
  const auto at_once = SelectMessages<ConfigRequest>(
      entry.Announce(3, row.announced, row.bytes));
  CHECK(at_once.size() == (row.at_once ? 1U : 0U));
  if (row.at_once) return;
  CHECK(entry.RequestsWithin(delay - kTick).empty());
  CHECK(entry.RequestsWithin(2 * kTick).size() == (row.later ? 1U : 0U));
}

TEST_CASE("The store's configuration ends the wait for another entry's",
          "[pool][entry][config]") {
  // Guards against a second transfer over a slow link.
  ConfigFixture entry;
  entry.Announce(3, 6);
  entry.AdvanceTime(kTick);
  entry.Step({ConfigRead{MakeVersion(6), std::string("six")}});
  CHECK(entry.RequestsWithin(seconds{2}).empty());
}

TEST_CASE("A slow or failed provider is replaced by another one",
          "[pool][entry][config]") {
  // Guards against an entry that is left behind because of one peer, with a
  // bound of a second.
  const auto fault = GENERATE(as<std::string>(), "silent", "closed",
                              "malformed", "wrong version");
  CAPTURE(fault);
  ConfigFixture entry;
  entry.Announce(3, 6);
  entry.Announce(4, 6);
  const auto first = entry.RequestsWithin(entry.RequestDelayFor(kLargeBytes));
  REQUIRE(first.size() == 1);
  const LinkId asked{first[0]};
  const ConfigOffer offer{6, std::string("text")};
  std::vector<EntryEvent> events;
  if (fault == "closed") events = {LinkClosed{asked}};
  if (fault == "malformed") {
    events = {MessageReceived{asked, offer}, ConfigRefused{asked}};
  }
  if (fault == "wrong version") {
    events = {MessageReceived{asked, offer},
              ConfigRead{MakeVersion(1), std::string("text")}};
  }
  auto next = SelectMessages<ConfigRequest>(entry.Step(std::move(events)));
  for (milliseconds t{0}; next.empty() && t < milliseconds{600}; t += kTick) {
    next = SelectMessages<ConfigRequest>(entry.AdvanceTime(kTick));
  }
  REQUIRE(next.size() == 1);
  CHECK(next[0].first == (asked.value == 3 ? 4U : 3U));
}

TEST_CASE("The only provider is asked again after a failure",
          "[pool][entry][config]") {
  // Guards against an entry that is left behind for good, and against one that
  // requests an unreadable text in a loop.
  ConfigFixture entry;
  entry.Announce(3, 6, 6'000);
  entry.Step({ConfigRefused{{3}}});
  CHECK(entry.RequestsWithin(seconds{5}).size() >= 3);
  CHECK(entry.RequestsWithin(seconds{5}).size() <= 11);
}

TEST_CASE("The preferred provider has a fast link", "[pool][entry][config]") {
  // Guards against transfers over the slow link of a small machine.
  struct Row {
    const char* name;
    std::uint64_t version;
    std::uint32_t link_mbps;
    std::uint64_t other_version;
    std::uint32_t other_link_mbps;
    std::uint64_t asked;
  };
  const auto row = GENERATE(values<Row>({
      {"fast", 7, 19, 7, 200, 4},
      {"fast, of a lower version", 7, 19, 6, 200, 4},
      {"of a higher version", 6, 200, 7, 200, 4},
      {"only a slow one is newer", 7, 19, 1, 200, 3},
  }));
  CAPTURE(row.name);
  ConfigFixture entry;
  entry.Announce(3, row.version, kLargeBytes, row.link_mbps);
  entry.Announce(4, row.other_version, kLargeBytes, row.other_link_mbps);
  CHECK(entry.RequestsWithin(entry.RequestDelayFor(kLargeBytes)) ==
        std::vector{row.asked});
}

TEST_CASE(
    "Versions that change three times a second do not leave an entry "
    "behind",
    "[pool][entry][config]") {
  // Load: an operator's program that writes a large configuration every 333 ms
  // while the store refuses this entry. The peer answers after 120 ms and the
  // text is read in 50 ms; each version must be in force, or replaced by a
  // newer one, within a second.
  ConfigFixture entry;
  std::uint64_t announced = 1;
  std::vector<BootTime> announced_at{{}, entry.now.boot};
  std::optional<BootTime> answer_at;
  std::uint64_t answer = 0;
  for (milliseconds t{0}; t < seconds{10}; t += kTick) {
    if (t % milliseconds{325} == milliseconds{0}) {
      entry.Announce(3, ++announced);
      announced_at.push_back(entry.now.boot);
    }
    if (!SelectMessages<ConfigRequest>(entry.AdvanceTime(kTick)).empty()) {
      answer_at = entry.now.boot + milliseconds{170};
      answer = announced;
    }
    if (answer_at && entry.now.boot >= *answer_at) {
      answer_at.reset();
      entry.Step({MessageReceived{{3}, ConfigOffer{answer, std::string("t")}},
                  ConfigRead{MakeVersion(answer), std::string("t")}});
    }
    const std::uint64_t missing = entry.board.config.version + 1;
    if (missing >= announced_at.size()) continue;
    CAPTURE(missing, t.count());
    REQUIRE(entry.now.boot - announced_at[missing] <= seconds{1});
  }
}

TEST_CASE("One large text is sent at a time on a slow link",
          "[pool][entry][config]") {
  // Guards against pings and starts that wait behind several transfers. At
  // 19 Mbit/s a text of 200 kB takes 85 ms.
  struct Row {
    double link_mbps;
    std::size_t bytes;
    std::size_t sent_at_once;
  };
  const auto row = GENERATE(values<Row>(
      {{19, 200'000, 1}, {19, 6'000, 3}, {0, 200'000, 3}, {200, 200'000, 1}}));
  CAPTURE(row.link_mbps, row.bytes);
  ConfigFixture entry;
  entry.board.settings.config_transfer.link_mbps = row.link_mbps;
  entry.Step({ConfigRead{MakeVersion(6), std::string(row.bytes, ' ')}});
  std::vector<EntryEvent> requests;
  for (std::uint64_t link = 3; link <= 5; ++link) {
    requests.emplace_back(MessageReceived{{link}, ConfigRequest{6}});
  }
  const auto sent = SelectMessages<ConfigOffer>(entry.Step(requests));
  CHECK(sent.size() == row.sent_at_once);
  if (row.sent_at_once != 1) return;
  const milliseconds transfer = TransferTime(row.bytes, row.link_mbps);
  CHECK(SelectMessages<ConfigOffer>(entry.AdvanceTime(transfer)).empty());
  CHECK(SelectMessages<ConfigOffer>(entry.AdvanceTime(transfer)).size() == 1);
}

TEST_CASE("A request that its sender has given up is not served",
          "[pool][entry][config]") {
  // Guards against a slow link that is busy with texts that have arrived from
  // elsewhere.
  ConfigFixture entry;
  entry.Step({ConfigRead{MakeVersion(6), std::string(kLargeBytes, ' ')}});
  entry.Step({MessageReceived{{3}, ConfigRequest{6}},
              MessageReceived{{4}, ConfigRequest{6}}});
  entry.now.boot += seconds{1};
  CHECK(SelectMessages<ConfigOffer>(entry.Step({EntryTick{}})).empty());
}

TEST_CASE("The queue with the longest prefix is found", "[pool][config]") {
  // Guards against an index that skips a shorter prefix behind longer ones, or
  // takes another host's.
  const auto queue = [](const char* name, const char* host,
                        const char* prefix) {
    QueueConfig it;
    it.name = name;
    it.host = host;
    it.path_prefix = prefix;
    return it;
  };
  const QueueTable table{
      queue("root", "h", "/"),      queue("a", "h", "/a/"),
      queue("ab", "h", "/a/b/"),    queue("ac", "h", "/a/c/"),
      queue("again", "h", "/a/c/"), queue("other", "g", "/a/b/c/"),
      queue("later", "i", "/a/")};
  struct Row {
    const char* host;
    const char* path;
    const char* name;
  };
  const auto row = GENERATE(values<Row>({{"h", "/a/b/c/1", "ab"},
                                         {"h", "/a/bb/1", "a"},
                                         {"h", "/a/c/1", "ac"},
                                         {"h", "/a/d/1", "a"},
                                         {"h", "/b", "root"},
                                         {"h", "", ""},
                                         {"g", "/a/b/c/1", "other"},
                                         {"g", "/a/b/", ""},
                                         {"i", "/a/b/c/1", "later"},
                                         {"j", "/a/", ""}}));
  CAPTURE(row.host, row.path);
  const QueueConfig* found = table.Find(row.host, row.path);
  CHECK((found == nullptr ? "" : found->name) == row.name);
}

}  // namespace
}  // namespace dottereltrack::pool
