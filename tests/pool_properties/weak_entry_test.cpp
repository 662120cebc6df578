#include <catch2/catch.hpp>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

constexpr milliseconds kTaskDuration{60};
// 1.6 times the longest task and 60 ms.
constexpr milliseconds kGoal{156};
constexpr milliseconds kClientTimeout{470};
constexpr int kStrongEntryJobsPerSecond = 60;

struct Step {
  int jobs_per_second;
  int seconds;
};

// Counts the jobs of the clients of one entry.
struct Service {
  std::vector<std::pair<CallId, BootTime>> jobs;

  double ShareInTime(const TestPool& pool) const {
    int in_time = 0;
    for (const auto& [call, submitted_at] : jobs) {
      const PoolReply* reply = pool.ReplyOf(call);
      if (reply != nullptr && reply->kind == pool::ReplyKind::kCompleted &&
          reply->at - submitted_at <= kGoal) {
        ++in_time;
      }
    }
    return static_cast<double>(in_time) / static_cast<double>(jobs.size());
  }
};

}  // namespace

// Guards against clients of a small machine that are served worse than others,
// and against an entry that enters and leaves overload while its load is
// steady.
TEST_CASE("The clients of a weak entry are served like those of others",
          "[pool][forwarding]") {
  struct Row {
    const char* name;
    std::vector<Step> steps;
    int max_transitions;
  };
  const auto row = GENERATE(
      values<Row>({{"light load", {{20, 6}}, 0},
                   {"a step up and down", {{20, 3}, {150, 8}, {20, 5}}, 2},
                   {"two steps", {{20, 3}, {100, 6}, {200, 6}, {20, 5}}, 2}}));
  CAPTURE(row.name);
  PoolOptions options;
  options.entries = 3;
  options.agents = 10;
  options.entry_cores = {0.5, 0.5, 0.06};
  TestPool pool(options);
  pool.RunFor(seconds{4});
  std::vector<Service> services(options.entries);
  std::uint64_t next_job = 1;
  int transitions = 0;
  bool was_overloaded = false;
  for (const Step& step : row.steps) {
    for (int ms = 0; ms < 1'000 * step.seconds; ++ms) {
      for (int entry = 0; entry < options.entries; ++entry) {
        const int rate =
            entry == 2 ? step.jobs_per_second : kStrongEntryJobsPerSecond;
        if (ms * rate / 1'000 == (ms + 1) * rate / 1'000) continue;
        const auto job = MakeJob(next_job++, 4, kTaskDuration, 1'300);
        services[entry].jobs.emplace_back(
            pool.Submit(entry, job, kClientTimeout), pool.now());
      }
      pool.RunFor(milliseconds{1});
      const bool is_overloaded = pool.entry(2).overload.is_overloaded;
      if (is_overloaded != was_overloaded) ++transitions;
      was_overloaded = is_overloaded;
    }
  }
  pool.RunFor(seconds{1});
  const double others =
      std::max(services[0].ShareInTime(pool), services[1].ShareInTime(pool));
  CHECK(others > 0.98);
  CHECK(services[2].ShareInTime(pool) > others - 0.02);
  CHECK(transitions <= row.max_transitions);
  CHECK(pool.ledger().violations.empty());
}

}  // namespace dottereltrack::testing
