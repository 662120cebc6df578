#include <catch2/catch.hpp>
#include <functional>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

constexpr int kEntries = 3;
constexpr int kAgents = 4;
constexpr const char* kName = "north";
constexpr milliseconds kSubmitInterval{40};
constexpr milliseconds kTaskDuration{60};
// A quarter of a minion.
constexpr std::int64_t kTaskCpuMillis = 6'000;
constexpr milliseconds kClientTimeout{1'500};
// Entries of the fake pool read the store each second; links carry the news
// within milliseconds.
constexpr milliseconds kInForceAfter{1'100};
// Time for the capacity to return after the end.
constexpr seconds kReturnTime{4};

bool IsInNorth(int agent) { return agent % 2 == 0; }

// Runs the pool under the load of jobs at all entries.
void RunWithLoad(TestPool* pool, milliseconds time, std::uint64_t* next_job) {
  const BootTime end = pool->now() + time;
  while (pool->now() < end) {
    const std::uint64_t id = (*next_job)++;
    pool->Submit(static_cast<int>(id % kEntries),
                 MakeJob(id, 2, kTaskDuration, kTaskCpuMillis), kClientTimeout);
    pool->RunFor(kSubmitInterval);
  }
}

// Number of runs that the minions of a data centre have begun.
int CountStarts(const TestPool& pool, bool in_north) {
  int count = 0;
  for (int n = 0; n < kAgents; ++n) {
    if (IsInNorth(n) != in_north) continue;
    const auto& starts = pool.ledger().starts_by_minion;
    const auto it = starts.find("m" + std::to_string(n));
    if (it != starts.end()) count += it->second;
  }
  return count;
}

// Number of processes that take the data centre for evacuated.
int CountInformed(const TestPool& pool) {
  int count = 0;
  for (int n = 0; n < kEntries; ++n) {
    count += pool::IsEvacuated(pool.entry(n).evacuations, kName) ? 1 : 0;
  }
  for (int n = 0; n < kAgents; ++n) {
    count += pool::IsEvacuated(pool.agent(n).evacuations, kName) ? 1 : 0;
  }
  return count;
}

void CutFromEntries(TestPool* pool, int entry, bool is_cut) {
  for (int n = 0; n < kEntries; ++n) {
    if (n != entry) pool->Cut(entry, n, is_cut);
  }
}

void RestartAll(TestPool* pool) {
  for (int n = 0; n < kEntries + kAgents; ++n) pool->Kill(n);
  for (int n = 0; n < kEntries + kAgents; ++n) pool->Restart(n);
}

}  // namespace

// Guards against starts in an evacuated data centre when a process, a link or
// the store fails meanwhile, and against an evacuation that outlives its key.
TEST_CASE("no failure lets a task start in an evacuated data centre",
          "[pool][evacuation]") {
  using Action = std::function<void(TestPool*)>;
  struct Row {
    const char* name;
    // Happen before the key is written, and when the evacuation is in force.
    Action before;
    Action after;
    // Starts elsewhere go on.
    bool is_served = true;
  };
  const Action none = [](TestPool*) {};
  const auto row = GENERATE_COPY(values<Row>({
      {"no failure", none, none},
      {"an entry is cut off from the store",
       [](TestPool* pool) { pool->SetStoreCut(0, true); }, none},
      {"only one entry reads the store",
       [](TestPool* pool) {
         pool->SetStoreCut(0, true);
         pool->SetStoreCut(1, true);
       },
       none},
      {"an entry is cut off from the store and the entries",
       [](TestPool* pool) {
         pool->SetStoreCut(0, true);
         CutFromEntries(pool, 0, true);
       },
       none},
      {"an entry restarts without the store", none,
       [](TestPool* pool) {
         pool->SetStoreCut(0, true);
         pool->Kill(0);
         pool->Restart(0);
       }},
      {"the only informed entry ends",
       [](TestPool* pool) {
         pool->SetStoreCut(1, true);
         pool->SetStoreCut(2, true);
       },
       [](TestPool* pool) {
         pool->SetStoreDown(true);
         pool->Kill(0);
       }},
      {"an agent restarts", none,
       [](TestPool* pool) {
         pool->Kill(pool->AgentProcess(0));
         pool->Restart(pool->AgentProcess(0));
       }},
      {"an entry is frozen when the key is written",
       [](TestPool* pool) { pool->Freeze(0); },
       [](TestPool* pool) { pool->Thaw(0); }},
      {"an agent is frozen when the key is written",
       [](TestPool* pool) { pool->Freeze(pool->AgentProcess(0)); },
       [](TestPool* pool) { pool->Thaw(pool->AgentProcess(0)); }},
      {"links are reset", none,
       [](TestPool* pool) {
         pool->ResetLinks(0, 1);
         pool->ResetLinks(0, pool->AgentProcess(0));
       }},
      {"all restart without the store", none,
       [](TestPool* pool) {
         pool->SetStoreDown(true);
         RestartAll(pool);
       },
       false},
  }));
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

  row.before(&pool);
  pool.SetEvacuations({kName});
  RunWithLoad(&pool, kInForceAfter, &next_job);
  const int starts_in_north = CountStarts(pool, true);
  const int starts_in_south = CountStarts(pool, false);
  row.after(&pool);
  RunWithLoad(&pool, seconds{3}, &next_job);
  CHECK(CountStarts(pool, true) == starts_in_north);
  CHECK((CountStarts(pool, false) > starts_in_south) == row.is_served);

  pool.SetStoreDown(false);
  for (int n = 0; n < kEntries; ++n) pool.SetStoreCut(n, false);
  CutFromEntries(&pool, 0, false);
  if (!pool.IsRunning(0)) pool.Restart(0);
  pool.RunFor(seconds{2});
  CHECK(CountInformed(pool) == kEntries + kAgents);
  pool.SetEvacuations({});
  pool.RunFor(kInForceAfter);
  CHECK(CountInformed(pool) == 0);
  pool.RunFor(kReturnTime);
  RunWithLoad(&pool, milliseconds{500}, &next_job);
  CHECK(CountStarts(pool, true) > starts_in_north);
  CHECK(pool.ledger().violations.empty());
}

}  // namespace dottereltrack::testing
