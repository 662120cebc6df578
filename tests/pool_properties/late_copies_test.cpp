// Copies of a submission that arrive seconds after its answer, at entries other
// than the one that has answered (review/11).

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

using pool::ReplyKind;

constexpr std::uint64_t kJob = 0xe1;
constexpr std::uint32_t kTasks = 2;
constexpr milliseconds kTaskDuration{1'500};
constexpr std::int64_t kTaskCpuMillis = 600;
constexpr milliseconds kClientTimeout{10'000};

enum class Action { kSubmit, kKill, kRestart, kCutOff, kHeal, kForwardAll };

// What happens some time after the first answer was sent and lost.
struct Step {
  milliseconds at{0};
  Action action = Action::kSubmit;
  int entry = 0;
};

struct Row {
  const char* name;
  std::vector<Step> steps;
  // The job is known to have ended, so that it does not run again.
  bool is_outcome_known = true;
  // The first entry forwards its jobs.
  bool forwards_first = false;
};

void CutOff(TestPool* pool, int entry, bool is_cut) {
  for (int other = 0; other < pool->process_count(); ++other) {
    if (other != entry) pool->Cut(entry, other, is_cut);
  }
}

// Returns the call of a submission.
std::optional<CallId> Apply(TestPool* pool, const Step& step,
                            const pool::JobSpec& job) {
  switch (step.action) {
    case Action::kSubmit:
      return pool->Submit(step.entry, job, kClientTimeout);
    case Action::kKill:
      pool->Kill(step.entry);
      return std::nullopt;
    case Action::kRestart:
      pool->Kill(step.entry);
      pool->Restart(step.entry);
      return std::nullopt;
    case Action::kCutOff:
    case Action::kHeal:
      CutOff(pool, step.entry, step.action == Action::kCutOff);
      return std::nullopt;
    case Action::kForwardAll:
      pool->SetLoopLoad(step.entry, 1.0);
      return std::nullopt;
  }
  return std::nullopt;
}

milliseconds Ms(int n) { return milliseconds{n}; }

}  // namespace

// Guards against two runs of a task at the same time after a lost answer: the
// client's next attempt at one entry, and a copy at another one.
TEST_CASE("A late copy joins the attempt that is at work at another entry",
          "[pool][review]") {
  const auto row = GENERATE(values<Row>({
      {"the next attempt, then a copy",
       {{Ms(1'300), Action::kSubmit, 1}, {Ms(2'000), Action::kSubmit, 2}}},
      {"two attempts and two copies",
       {{Ms(1'300), Action::kSubmit, 1},
        {Ms(1'900), Action::kSubmit, 2},
        {Ms(2'000), Action::kSubmit, 0},
        {Ms(2'600), Action::kSubmit, 2}}},
      {"a copy before the next attempt",
       {{Ms(1'000), Action::kSubmit, 2}, {Ms(1'300), Action::kSubmit, 1}}},
      {"a copy at the entry that has answered",
       {{Ms(1'300), Action::kSubmit, 1}, {Ms(2'000), Action::kSubmit, 0}}},
      {"a copy and the next attempt at the same time",
       {{Ms(1'300), Action::kSubmit, 1}, {Ms(1'300), Action::kSubmit, 2}}},
      {"the entry that has answered is lost at once",
       {{Ms(0), Action::kKill, 0},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(1'300), Action::kSubmit, 2}},
       false},
      {"the entry that has answered is lost, then a copy",
       {{Ms(100), Action::kKill, 0},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(1'340), Action::kSubmit, 2},
        {Ms(2'000), Action::kSubmit, 2}},
       false},
      {"the entry that has answered is cut off",
       {{Ms(0), Action::kCutOff, 0},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(2'000), Action::kSubmit, 2},
        {Ms(2'100), Action::kHeal, 0}},
       false},
      {"the entry that has answered has started again",
       {{Ms(0), Action::kRestart, 0},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(2'000), Action::kSubmit, 0}},
       false},
      {"a copy at an entry that has just started",
       {{Ms(1'300), Action::kSubmit, 1},
        {Ms(1'900), Action::kRestart, 2},
        {Ms(1'906), Action::kSubmit, 2}}},
      {"a copy at an entry that has just started, of an unknown outcome",
       {{Ms(0), Action::kKill, 0},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(1'900), Action::kRestart, 2},
        {Ms(1'906), Action::kSubmit, 2}},
       false},
      {"all entries have started again",
       {{Ms(100), Action::kRestart, 0},
        {Ms(100), Action::kRestart, 1},
        {Ms(100), Action::kRestart, 2},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(2'000), Action::kSubmit, 2}},
       false},
      {"the first attempt was forwarded",
       {{Ms(1'300), Action::kSubmit, 1}, {Ms(2'000), Action::kSubmit, 2}},
       true,
       true},
      {"the next attempt is forwarded",
       {{Ms(0), Action::kRestart, 0},
        {Ms(200), Action::kForwardAll, 1},
        {Ms(1'300), Action::kSubmit, 1},
        {Ms(2'000), Action::kSubmit, 2},
        {Ms(2'000), Action::kSubmit, 0}},
       false},
  }));
  CAPTURE(row.name);
  TestPool pool(PoolOptions{});
  pool.RunFor(seconds{3});
  if (row.forwards_first) {
    pool.SetLoopLoad(0, 1.0);
    pool.RunFor(seconds{1});
  }
  const pool::JobSpec job =
      MakeJob(kJob, kTasks, kTaskDuration, kTaskCpuMillis);
  const CallId first = pool.Submit(0, job, kClientTimeout);
  while (pool.StateOf(first) == CallState::kOpen) pool.RunFor(Ms(1));
  REQUIRE(pool.ReplyOf(first)->kind == ReplyKind::kCompleted);
  const BootTime answered_at = pool.now();
  std::vector<CallId> calls;
  for (const Step& step : row.steps) {
    pool.RunUntil(answered_at + step.at);
    if (const auto call = Apply(&pool, step, job)) calls.push_back(*call);
  }
  pool.RunFor(seconds{8});
  CHECK(pool.ledger().violations == std::vector<std::string>{});
  const int runs = pool.ledger().CountRuns(kJob);
  CHECK(runs == static_cast<int>(row.is_outcome_known ? kTasks : 2 * kTasks));
  for (const CallId call : calls) {
    const PoolReply* reply = pool.ReplyOf(call);
    REQUIRE(reply != nullptr);
    CHECK(reply->kind == ReplyKind::kCompleted);
  }
}

}  // namespace dottereltrack::testing
