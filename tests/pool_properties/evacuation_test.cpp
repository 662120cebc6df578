#include <catch2/catch.hpp>
#include <functional>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

constexpr int kEntries = 3;
constexpr int kAgents = 4;
constexpr int kProcesses = kEntries + kAgents;
constexpr const char* kName = "north";
constexpr milliseconds kSubmitInterval{40};
// Entries of the fake pool read the store each second; links carry the news
// within milliseconds.
constexpr milliseconds kInForceAfter{1'100};
// Time for the capacity to return after the end.
constexpr seconds kReturnTime{4};

// Runs the pool under the load of jobs at all entries.
void RunWithLoad(TestPool* pool, milliseconds time, std::uint64_t* next_job) {
  const BootTime end = pool->now() + time;
  while (pool->now() < end) {
    const std::uint64_t id = (*next_job)++;
    pool->Submit(static_cast<int>(id % kEntries),
                 MakeJob(id, 2, milliseconds{60}, 6'000), milliseconds{1'500});
    pool->RunFor(kSubmitInterval);
  }
}

// Number of runs that the minions of a data centre have begun.
int CountStarts(const TestPool& pool, bool in_north) {
  int count = 0;
  for (const auto& [minion, starts] : pool.ledger().starts_by_minion) {
    const bool is_in_north = minion == "m0" || minion == "m2";
    if (is_in_north == in_north) count += starts;
  }
  return count;
}

// Number of processes that take the data centre for evacuated.
int CountInformed(const TestPool& pool) {
  int count = 0;
  for (int n = 0; n < kProcesses; ++n) {
    const auto& evacuations = n < kEntries
                                  ? pool.entry(n).evacuations
                                  : pool.agent(n - kEntries).evacuations;
    if (pool::IsEvacuated(evacuations, kName)) ++count;
  }
  return count;
}

void CutFromEntries(TestPool* pool, bool is_cut) {
  for (int n = 1; n < kEntries; ++n) pool->Cut(0, n, is_cut);
}

void Restart(TestPool* pool, int process) {
  pool->Kill(process);
  pool->Restart(process);
}

void RestartAllWithoutStore(TestPool* pool) {
  pool->SetStoreDown(true);
  for (int n = 0; n < kProcesses; ++n) pool->Kill(n);
  for (int n = 0; n < kProcesses; ++n) pool->Restart(n);
}

}  // namespace

// Guards against starts in an evacuated data centre when a process, a link or
// the store fails meanwhile, and against an evacuation that outlives its key.
TEST_CASE("no failure lets a task start in an evacuated data centre",
          "[pool][evacuation]") {
  using P = TestPool*;
  struct Row {
    const char* name;
    // Entries that do not reach the store when the key is written.
    std::vector<int> cut_entries;
    // Happen before the key is written, and when the evacuation is in force.
    std::function<void(P)> before;
    std::function<void(P)> after;
  };
  const auto row = GENERATE(values<Row>(
      {{"no failure", {}, {}, {}},
       {"an entry without the store", {0}, {}, {}},
       {"one entry with the store", {0, 1}, {}, {}},
       {"an entry linked to agents only",
        {0},
        [](P pool) { CutFromEntries(pool, true); },
        {}},
       {"an entry restarts without the store",
        {0},
        {},
        [](P pool) { Restart(pool, 0); }},
       {"the entry with the store ends",
        {1, 2},
        {},
        [](P pool) { pool->Kill(0); }},
       {"an agent restarts", {}, {}, [](P pool) { Restart(pool, kEntries); }},
       {"an entry is frozen before",
        {},
        [](P pool) { pool->Freeze(0); },
        [](P pool) { pool->Thaw(0); }},
       {"an agent is frozen before",
        {},
        [](P pool) { pool->Freeze(kEntries); },
        [](P pool) { pool->Thaw(kEntries); }},
       {"a link is reset",
        {},
        {},
        [](P pool) { pool->ResetLinks(0, kEntries); }},
       {"all restart without the store", {}, {}, &RestartAllWithoutStore}}));
  CAPTURE(row.name);
  PoolOptions options;
  options.entries = kEntries;
  options.agents = kAgents;
  options.data_centres = {kName, "south", kName, "south"};
  options.seed = GENERATE(range<std::uint64_t>(1, 4));
  CAPTURE(options.seed);
  TestPool pool(options);
  std::uint64_t next_job = 1;
  pool.RunFor(seconds{4});
  RunWithLoad(&pool, milliseconds{500}, &next_job);
  REQUIRE(CountStarts(pool, true) > 0);

  for (const int n : row.cut_entries) pool.SetStoreCut(n, true);
  if (row.before) row.before(&pool);
  pool.SetEvacuations({kName});
  RunWithLoad(&pool, kInForceAfter, &next_job);
  const int north = CountStarts(pool, true);
  const int south = CountStarts(pool, false);
  if (row.after) row.after(&pool);
  RunWithLoad(&pool, seconds{3}, &next_job);
  CHECK(CountStarts(pool, true) == north);
  const bool has_config = pool.entry(1).config.version != 0;
  CHECK((CountStarts(pool, false) > south) == has_config);

  pool.SetStoreDown(false);
  for (int n = 0; n < kEntries; ++n) pool.SetStoreCut(n, false);
  CutFromEntries(&pool, false);
  if (!pool.IsRunning(0)) pool.Restart(0);
  pool.RunFor(seconds{2});
  CHECK(CountInformed(pool) == kProcesses);
  pool.SetEvacuations({});
  pool.RunFor(kInForceAfter);
  CHECK(CountInformed(pool) == 0);
  pool.RunFor(kReturnTime);
  RunWithLoad(&pool, milliseconds{500}, &next_job);
  CHECK(CountStarts(pool, true) > north);
  CHECK(pool.ledger().violations.empty());
}

}  // namespace dottereltrack::testing
