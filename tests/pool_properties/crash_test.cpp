#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

constexpr std::uint64_t kCrashingJob = 1;
constexpr std::uint64_t kOtherJob = 2;
constexpr pool::TaskKey kCrashingTask{kCrashingJob, 0, 0};
constexpr milliseconds kTaskDuration{400};
// Four tasks use the full capacity of a minion.
constexpr std::int64_t kTaskCpuMillis = 6'000;
constexpr milliseconds kStep{5};
constexpr seconds kClientTimeout{12};
// A client whose connection broke submits the same job again after this time.
constexpr milliseconds kResendAfter{1'300};
constexpr milliseconds kRestartDelay{500};

// Submits a job and, after each broken connection or a reply without an
// outcome, submits it again to the next entry.
class PersistentClient {
 public:
  PersistentClient(TestPool* pool, pool::JobSpec job, int entry = 0)
      : pool_(pool),
        job_(std::move(job)),
        gives_up_at_(pool->now() + kClientTimeout),
        entry_(entry) {
    Submit();
  }

  void Update() {
    if (outcome_) return;
    if (resend_at_) {
      if (pool_->now() < *resend_at_) return;
      resend_at_.reset();
      entry_ = (entry_ + 1) % pool_->entry_count();
      return Submit();
    }
    if (pool_->StateOf(call_) == CallState::kOpen) return;
    const PoolReply* reply = pool_->ReplyOf(call_);
    const bool has_outcome =
        reply != nullptr && (reply->kind == pool::ReplyKind::kCompleted ||
                             reply->kind == pool::ReplyKind::kFailed);
    if (has_outcome) {
      outcome_ = reply->kind;
    } else {
      resend_at_ = pool_->now() + kResendAfter;
    }
  }

  int entry() const { return entry_; }
  std::optional<pool::ReplyKind> outcome() const { return outcome_; }

 private:
  void Submit() {
    const auto left =
        std::chrono::duration_cast<milliseconds>(gives_up_at_ - pool_->now());
    call_ = pool_->Submit(entry_, job_, left);
  }

  TestPool* pool_;
  pool::JobSpec job_;
  BootTime gives_up_at_;
  int entry_ = 0;
  CallId call_{};
  std::optional<BootTime> resend_at_;
  std::optional<pool::ReplyKind> outcome_;
};

}  // namespace

// Guards against a task that crashes minion after minion because a run that
// ends with its minion counts as an attempt nowhere, or only on an entry that
// has been killed since.
TEST_CASE("a task that crashes its minions is given up, also by other entries",
          "[pool][crash]") {
  struct Row {
    const char* name;
    // Numbers of crashes after which the job's entry is killed.
    std::vector<int> kills_after;
  };
  const auto row = GENERATE(values<Row>({
      {"no entry is killed", {}},
      {"the entry is killed after the first crash", {1}},
      {"the entry is killed after the second crash", {2}},
      {"two entries are killed", {1, 2}},
  }));
  CAPTURE(row.name);
  PoolOptions options;
  options.entries = 3;
  options.agents = 8;
  options.time_ratios = {1.0, 1.6, 0.7};
  TestPool pool(options);
  pool.RunFor(seconds{2});
  PersistentClient client(
      &pool, MakeCrashingJob(kCrashingJob, 4, kTaskDuration, kTaskCpuMillis));
  PersistentClient other(&pool,
                         MakeJob(kOtherJob, 16, kTaskDuration, kTaskCpuMillis));
  std::size_t kills = 0;
  std::optional<BootTime> restart_at;
  int killed_entry = 0;
  const BootTime end = pool.now() + kClientTimeout;
  while (pool.now() < end) {
    pool.RunFor(kStep);
    const int crashes = pool.ledger().crashes.count(kCrashingTask) != 0
                            ? pool.ledger().crashes.at(kCrashingTask)
                            : 0;
    if (kills < row.kills_after.size() && crashes == row.kills_after[kills]) {
      ++kills;
      killed_entry = client.entry();
      pool.Kill(killed_entry);
      restart_at = pool.now() + kRestartDelay;
    }
    if (restart_at && pool.now() >= *restart_at) {
      pool.Restart(killed_entry);
      restart_at.reset();
    }
    client.Update();
    other.Update();
  }
  CHECK(pool.ledger().violations == std::vector<std::string>{});
  CHECK(kills == row.kills_after.size());
  CHECK(client.outcome() == pool::ReplyKind::kFailed);
  CHECK(other.outcome() == pool::ReplyKind::kCompleted);
}

// Guards against jobs that fail because their tasks were started again beside
// the task that had crashed their minion, and ended with its next minion, too.
TEST_CASE("jobs beside tasks that crash minions are completed",
          "[pool][crash]") {
  constexpr int kOtherJobs = 24;
  constexpr int kCrashingJobs = 3;
  const auto seed = GENERATE(range<std::uint64_t>(1, 9));
  CAPTURE(seed);
  PoolOptions options;
  options.entries = 3;
  options.agents = 8;
  options.seed = seed;
  TestPool pool(options);
  pool.RunFor(seconds{2});
  std::vector<PersistentClient> crashing;
  std::vector<PersistentClient> others;
  std::uint64_t id = 0;
  for (int n = 0; n < kOtherJobs; ++n) {
    others.emplace_back(&pool, MakeJob(++id, 1, kTaskDuration, kTaskCpuMillis),
                        n % 3);
    if (n % (kOtherJobs / kCrashingJobs) != 0) continue;
    crashing.emplace_back(
        &pool, MakeCrashingJob(++id, 1, kTaskDuration, kTaskCpuMillis), n % 3);
  }
  const BootTime end = pool.now() + kClientTimeout;
  while (pool.now() < end) {
    pool.RunFor(kStep);
    for (PersistentClient& it : crashing) it.Update();
    for (PersistentClient& it : others) it.Update();
  }
  CHECK(pool.ledger().violations == std::vector<std::string>{});
  for (const PersistentClient& it : crashing) {
    CHECK(it.outcome() == pool::ReplyKind::kFailed);
  }
  for (const PersistentClient& it : others) {
    CHECK(it.outcome() == pool::ReplyKind::kCompleted);
  }
}

}  // namespace dottereltrack::testing
