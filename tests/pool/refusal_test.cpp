#include "core/pool/entry/refusal.h"

#include <catch2/catch.hpp>
#include <set>

#include "core/pool/entry/backlog.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x1000000000000001;

TEST_CASE("A job is hopeless if even short tasks would end too late",
          "[pool][entry][refusal]") {
  // Guards against refusing jobs that would have met their deadline, as
  // estimates are off by 40%, and against jobs that are held to their deadline.
  struct Row {
    const char* name;
    JobOutlook outlook;
    bool is_hopeless;
  };
  const milliseconds t{100};
  const auto row = GENERATE_COPY(values<Row>({
      {"in time", {2 * t, t, 1, 3 * t}, false},
      {"in time if the estimates are 30% too high",
       {3 * t, t, 1, 3 * t},
       false},
      {"too late in any case", {4 * t, t, 1, 3 * t}, true},
      {"in time on a fast minion", {t, 4 * t, 0.5, 3 * t}, false},
      {"too late on a slow minion", {t, 4 * t, 1, 3 * t}, true},
      {"after the deadline", {t, t, 1, -t}, true},
  }));
  CAPTURE(row.name);
  CHECK(IsHopeless(row.outlook) == row.is_hopeless);
}

TEST_CASE("Refused callers return after the backlog and not together",
          "[pool][entry][refusal]") {
  // Guards against a second peak when the callers refused in a burst return.
  struct Row {
    milliseconds drain_time;
    milliseconds earliest;
    milliseconds latest;
  };
  const auto row =
      GENERATE(values<Row>({{seconds{0}, seconds{1}, seconds{3}},
                            {seconds{3}, seconds{3}, seconds{6}},
                            {seconds{60}, seconds{10}, seconds{20}}}));
  CAPTURE(row.drain_time.count());
  std::set<milliseconds> delays;
  for (std::uint64_t job = 1; job <= 100; ++job) {
    const milliseconds delay = DelayOfRetry(row.drain_time, job);
    CHECK(delay >= row.earliest);
    CHECK(delay <= row.latest);
    delays.insert(delay);
  }
  CHECK(delays.size() > 80);
}

TEST_CASE("A job that cannot end in time is refused before its deadline",
          "[pool][entry][refusal]") {
  // Pattern: a backlog that grows after the job was accepted. Guards against
  // callers that wait until their timeout for a refusal, and against a job that
  // is said not to have run although a task was started.
  struct Row {
    const char* name;
    // Tasks of 100 ms that wait for one slot, which is occupied.
    std::uint32_t other_tasks;
    // Whether one of the job's two tasks has started.
    bool has_started;
    milliseconds age;
    std::optional<ReplyKind> reply;
  };
  // The client waits for 1,000 ms. The job is late after 160 ms.
  const auto row = GENERATE(values<Row>({
      {"no backlog", 0, false, milliseconds{300}, {}},
      {"short backlog", 5, false, milliseconds{300}, {}},
      {"long backlog", 12, false, milliseconds{300}, ReplyKind::kOverloaded},
      {"not late yet", 12, false, milliseconds{100}, {}},
      {"no backlog, too old", 0, false, milliseconds{940},
       ReplyKind::kOverloaded},
      {"has started, backlog", 12, true, milliseconds{300}, {}},
      {"has started, too old", 0, true, milliseconds{940}, ReplyKind::kGivenUp},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  if (!row.has_started) {
    const LoadReport full{0, {}, true, true};
    entry.Step({MessageReceived{{1}, full}});
  }
  // Two tasks, so that the others have as much work left a job.
  entry.Submit(kJob + 99, 2, milliseconds{1'000});
  for (std::uint32_t n = 0; n < row.other_tasks; ++n) {
    entry.Submit(kJob + n, 1, seconds{60});
  }
  std::vector<Reply> replies;
  for (milliseconds age{0}; age < row.age; age += milliseconds{20}) {
    for (const Reply& it :
         SelectEffects<Reply>(entry.AdvanceTime(milliseconds{20}))) {
      replies.push_back(it);
    }
  }
  REQUIRE(replies.size() == (row.reply ? 1U : 0U));
  if (!row.reply) return;
  CHECK(replies[0].kind == *row.reply);
  const bool is_refusal = *row.reply == ReplyKind::kOverloaded;
  CHECK((replies[0].retry_after >= seconds{1}) == is_refusal);
}

TEST_CASE("The backlog is measured in work and in time until a start",
          "[pool][entry][refusal]") {
  // Guards against other entries that send jobs to one with slow minions, or
  // that count late tasks, which new ones overtake, as work before theirs.
  struct Row {
    const char* name;
    double log_slowness;
    milliseconds age;
    ServiceBacklog backlog;
  };
  // Three tasks of 6 cores and 100 ms wait for a minion of 12 cores.
  const auto row = GENERATE(values<Row>({
      {"usual speed", 0, milliseconds{0}, {"menus", 1'800, milliseconds{150}}},
      {"half speed",
       0.6931472,
       milliseconds{0},
       {"menus", 1'800, milliseconds{300}}},
      {"late", 0, milliseconds{200}, {"menus", 1'800, milliseconds{0}}},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(2), row.log_slowness);
  entry.Step(
      {MessageReceived{{1}, LoadReport{0, {}, true, true, row.log_slowness}}});
  entry.Submit(kJob, 3);
  entry.now.boot += row.age;
  const auto backlogs = MeasureBacklogs(entry.board, entry.now);
  REQUIRE(backlogs.size() == 1);
  CHECK(backlogs[0] == row.backlog);
}

}  // namespace
}  // namespace dottereltrack::pool
