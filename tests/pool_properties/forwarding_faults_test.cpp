#include <catch2/catch.hpp>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

using pool::ReplyKind;

constexpr std::uint64_t kJob = 0x2b1f;
constexpr milliseconds kClientTimeout{4'000};
// A client submits its job again this long after it has lost its entry.
constexpr milliseconds kResendAfter{1'300};

// Three entries, of which the first is overloaded and forwards all jobs.
class ForwardingPool {
 public:
  ForwardingPool() : pool(MakeOptions()) {
    pool.RunFor(seconds{3});
    pool.SetLoopLoad(0, 1.0);
    pool.RunFor(milliseconds{100});
  }

  // Submits a job at the first entry and returns its owner; 0 if the first
  // entry has kept it.
  int Submit(milliseconds duration) {
    job = MakeJob(kJob, 3, duration, 6'000);
    call = pool.Submit(0, job, kClientTimeout);
    pool.RunFor(milliseconds{60});
    for (const int n : {1, 2}) {
      if (pool.entry(n).jobs.Find(kJob) != nullptr) return n;
    }
    return 0;
  }

  bool HasLiveRuns() const { return !pool.ledger().live.empty(); }

  TestPool pool;
  pool::JobSpec job;
  CallId call;

 private:
  static PoolOptions MakeOptions() {
    PoolOptions options;
    options.entries = 3;
    options.agents = 2;
    return options;
  }
};

TEST_CASE("An overloaded entry forwards a job and relays its outcome",
          "[pool][forwarding]") {
  // Guards against jobs that their first entry starts as well, and against
  // callers that are not answered.
  ForwardingPool it;
  const int owner = it.Submit(milliseconds{200});
  REQUIRE(owner != 0);
  CHECK(it.pool.entry(0).jobs.Find(kJob)->forwarded_to);
  CHECK(it.pool.entry(0).tasks.empty());
  CHECK(it.pool.ledger().live.size() == 3);
  it.pool.RunFor(milliseconds{300});
  REQUIRE(it.pool.ReplyOf(it.call) != nullptr);
  CHECK(it.pool.ReplyOf(it.call)->kind == ReplyKind::kCompleted);
  CHECK(it.pool.ledger().starts == 3);
  CHECK(it.pool.entry(owner).forwarded_calls.empty());
}

enum class Fault {
  kOwnerKilled,
  kOwnerWithoutPower,
  kFirstKilled,
  kFirstWithoutPower,
  kFirstFrozen,
  kLinkReset,
  kEntriesCut,
  kCallerLeaves,
  kCancelled,
  kOwnerStops,
  kFirstStops,
};

void Inflict(Fault fault, int owner, ForwardingPool* it) {
  TestPool& pool = it->pool;
  switch (fault) {
    case Fault::kOwnerKilled:
      return pool.Kill(owner);
    case Fault::kOwnerWithoutPower:
      return pool.PowerOff(owner);
    case Fault::kFirstKilled:
      return pool.Kill(0);
    case Fault::kFirstWithoutPower:
      return pool.PowerOff(0);
    case Fault::kFirstFrozen:
      return pool.Freeze(0);
    case Fault::kLinkReset:
      return pool.ResetLinks(0, owner);
    case Fault::kEntriesCut:
      return pool.Cut(0, owner, true);
    case Fault::kCallerLeaves:
      return pool.LeaveCall(it->call);
    case Fault::kCancelled:
      pool.Cancel(0, kJob);
      return;
    case Fault::kOwnerStops:
      return pool.Stop(owner);
    case Fault::kFirstStops:
      return pool.Stop(0);
  }
}

TEST_CASE("The runs of a forwarded job end before its client submits it again",
          "[pool][forwarding]") {
  // Guards against two runs of a task at a time after any single fault, and
  // against callers that are told that a job has not run.
  struct Row {
    const char* name;
    Fault fault;
    // Reply to the first call; empty if its entry is lost or the caller left.
    std::optional<ReplyKind> reply;
    // Whether the job's runs end because of the fault.
    bool ends_runs;
  };
  const auto row = GENERATE(values<Row>(
      {{"owner killed", Fault::kOwnerKilled, ReplyKind::kGivenUp, true},
       {"owner without power", Fault::kOwnerWithoutPower, ReplyKind::kGivenUp,
        true},
       {"first entry killed", Fault::kFirstKilled, std::nullopt, true},
       {"first entry without power", Fault::kFirstWithoutPower, std::nullopt,
        true},
       {"first entry frozen", Fault::kFirstFrozen, std::nullopt, true},
       {"link reset", Fault::kLinkReset, ReplyKind::kGivenUp, true},
       {"entries cut off from each other", Fault::kEntriesCut,
        ReplyKind::kGivenUp, true},
       {"caller leaves", Fault::kCallerLeaves, std::nullopt, true},
       {"cancelled", Fault::kCancelled, ReplyKind::kCancelled, true},
       {"owner stops", Fault::kOwnerStops, ReplyKind::kCompleted, false},
       {"first entry stops", Fault::kFirstStops, ReplyKind::kCompleted,
        false}}));
  CAPTURE(row.name);
  ForwardingPool it;
  const int owner = it.Submit(milliseconds{1'500});
  REQUIRE(owner != 0);
  REQUIRE(it.HasLiveRuns());
  Inflict(row.fault, owner, &it);
  it.pool.RunFor(kResendAfter);
  CHECK(it.HasLiveRuns() != row.ends_runs);
  const int other = 3 - owner;
  const CallId second = it.pool.Submit(other, it.job, kClientTimeout);
  it.pool.RunFor(seconds{4});
  const PoolReply* reply = it.pool.ReplyOf(it.call);
  CHECK((reply != nullptr) == row.reply.has_value());
  if (reply != nullptr && row.reply) CHECK(reply->kind == *row.reply);
  // A run of the second submission beside one of the first would be a fault of
  // the test where the first one goes on.
  if (row.ends_runs) {
    CHECK(it.pool.ledger().violations.empty());
    REQUIRE(it.pool.ReplyOf(second) != nullptr);
    // A cancelled job does not run again.
    CHECK(it.pool.ReplyOf(second)->kind == (row.fault == Fault::kCancelled
                                                ? ReplyKind::kCancelled
                                                : ReplyKind::kCompleted));
  }
}

TEST_CASE("A job that its owner gives up is not started again too early",
          "[pool][forwarding]") {
  // Guards against a resubmission at the first entry that runs beside the runs
  // of the lost owner.
  const Fault fault = GENERATE(Fault::kOwnerWithoutPower, Fault::kLinkReset,
                               Fault::kEntriesCut, Fault::kCallerLeaves);
  ForwardingPool it;
  const int owner = it.Submit(milliseconds{1'500});
  REQUIRE(owner != 0);
  Inflict(fault, owner, &it);
  std::optional<CallId> second;
  for (int n = 0; n < 40 && !second; ++n) {
    it.pool.RunFor(milliseconds{25});
    if (it.pool.StateOf(it.call) != CallState::kOpen) {
      second = it.pool.Submit(0, it.job, kClientTimeout);
    }
  }
  REQUIRE(second);
  it.pool.RunFor(seconds{4});
  CHECK(it.pool.ledger().violations.empty());
  REQUIRE(it.pool.ReplyOf(*second) != nullptr);
  CHECK(it.pool.ReplyOf(*second)->kind == ReplyKind::kCompleted);
}

TEST_CASE("A repeated submission waits for the forwarded job",
          "[pool][forwarding]") {
  // Guards against a job that is forwarded twice.
  ForwardingPool it;
  REQUIRE(it.Submit(milliseconds{400}) != 0);
  const CallId second = it.pool.Submit(0, it.job, kClientTimeout);
  it.pool.LeaveCall(it.call);
  it.pool.RunFor(milliseconds{600});
  REQUIRE(it.pool.ReplyOf(second) != nullptr);
  CHECK(it.pool.ReplyOf(second)->kind == ReplyKind::kCompleted);
  CHECK(it.pool.ledger().starts == 3);
}

TEST_CASE("Pauses of both entries and of the agents keep within the bound",
          "[pool][forwarding]") {
  // Guards against a chain of pauses, each too short to be noticed, after which
  // runs still live when the client submits its job again.
  struct Row {
    int first_ms;
    int owner_ms;
    int agent_ms;
  };
  const auto row = GENERATE(values<Row>({{0, 0, 0},
                                         {370, 0, 0},
                                         {0, 370, 0},
                                         {340, 370, 0},
                                         {370, 370, 0},
                                         {340, 370, 140},
                                         {370, 370, 300}}));
  CAPTURE(row.first_ms, row.owner_ms, row.agent_ms);
  ForwardingPool it;
  const int owner = it.Submit(milliseconds{2'500});
  REQUIRE(owner != 0);
  const BootTime left_at = it.pool.now();
  it.pool.Freeze(0);
  it.pool.LeaveCall(it.call);
  it.pool.RunFor(milliseconds{row.first_ms});
  it.pool.Freeze(owner);
  it.pool.Thaw(0);
  it.pool.RunFor(milliseconds{row.owner_ms});
  for (const int agent : {0, 1}) it.pool.Freeze(it.pool.AgentProcess(agent));
  it.pool.Thaw(owner);
  it.pool.RunFor(milliseconds{row.agent_ms});
  for (const int agent : {0, 1}) it.pool.Thaw(it.pool.AgentProcess(agent));
  it.pool.RunUntil(left_at + kResendAfter);
  CHECK_FALSE(it.HasLiveRuns());
  const CallId second = it.pool.Submit(3 - owner, it.job, kClientTimeout);
  it.pool.RunFor(seconds{4});
  CHECK(it.pool.ledger().violations.empty());
  REQUIRE(it.pool.ReplyOf(second) != nullptr);
  CHECK(it.pool.ReplyOf(second)->kind == ReplyKind::kCompleted);
}

TEST_CASE("The owner gives up the jobs of a silent first entry early",
          "[pool][forwarding]") {
  // Guards against an owner that waits for link_timeout: if it were cut off at
  // that moment, its runs would live for longer than the bound.
  ForwardingPool it;
  REQUIRE(it.Submit(milliseconds{1'500}) != 0);
  it.pool.PowerOff(0);
  it.pool.RunFor(milliseconds{200});
  CHECK(it.HasLiveRuns());
  it.pool.RunFor(milliseconds{260});
  CHECK_FALSE(it.HasLiveRuns());
}

}  // namespace
}  // namespace dottereltrack::testing
