#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

constexpr int kEntries = 8;
constexpr int kAgents = 16;
constexpr std::size_t kMaxLinks = 3;
constexpr milliseconds kTaskDuration{50};
constexpr milliseconds kClientTimeout{2'000};

std::size_t CountMissingLinks(const TestPool& pool) {
  std::size_t missing = 0;
  for (int n = 0; n < kAgents; ++n) {
    missing += kMaxLinks - std::min(kMaxLinks, pool.agent(n).links.size());
  }
  return missing;
}

// Submits a job at each running entry and counts the completed ones.
int CountServingEntries(TestPool* pool, std::uint64_t first_id) {
  std::vector<CallId> calls;
  for (int n = 0; n < kEntries; ++n) {
    calls.push_back(pool->Submit(
        n, MakeJob(first_id + n, 2, kTaskDuration, 6'000), kClientTimeout));
  }
  pool->RunFor(kClientTimeout);
  return static_cast<int>(
      std::count_if(calls.begin(), calls.end(), [&](CallId call) {
        const PoolReply* reply = pool->ReplyOf(call);
        return reply != nullptr && reply->kind == pool::ReplyKind::kCompleted;
      }));
}

}  // namespace

// Guards against entries without agents, and against agents that stay with few
// links, when the pool has more entries than an agent links to.
TEST_CASE("a pool with subsets of links serves at all entries",
          "[pool][links]") {
  PoolOptions options;
  options.entries = kEntries;
  options.agents = kAgents;
  options.max_entry_links = kMaxLinks;
  options.seed = GENERATE(range<std::uint64_t>(1, 6));
  CAPTURE(options.seed);
  TestPool pool(options);
  pool.RunFor(seconds{4});
  REQUIRE(CountMissingLinks(pool) == 0);
  CHECK(CountServingEntries(&pool, 1) == kEntries);

  pool.Kill(0);
  pool.PowerOff(1);
  pool.RunFor(seconds{2});
  CHECK(CountMissingLinks(pool) == 0);
  CHECK(CountServingEntries(&pool, 100) == kEntries - 2);

  pool.Restart(0);
  pool.Restart(1);
  pool.RunFor(seconds{4});
  CHECK(CountServingEntries(&pool, 200) == kEntries);
  for (int n = 0; n < kAgents; ++n) {
    CHECK(pool.agent(n).links.size() == kMaxLinks);
  }
  CHECK(pool.ledger().violations.empty());
}

}  // namespace dottereltrack::testing
