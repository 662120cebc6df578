#include <catch2/catch.hpp>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x1000000000000001;

JobSubmitted SubmissionTo(const std::string& host, const std::string& path) {
  JobSubmitted e;
  e.call = {1};
  e.host = host;
  e.path = path;
  e.job.id = kJob;
  e.job.steps = {{1, ResourcesFor(1), milliseconds{100}}};
  e.client_timeout = seconds{2};
  return e;
}

TEST_CASE("A submission that cannot be served is refused with its reason",
          "[pool][entry]") {
  // Guards against a wrong kind of refusal, on which clients and operators act.
  struct Row {
    const char* name;
    JobSubmitted submission;
    std::uint64_t config_version;
    ReplyKind reply;
  };
  JobSubmitted unsupported = SubmissionTo("menus.example", "/checks/x");
  unsupported.job.unsupported = "the job has several steps";
  const auto row = GENERATE_COPY(values<Row>(
      {{"other host", SubmissionTo("other.example", "/checks/x"), 1,
        ReplyKind::kNoQueue},
       {"other path", SubmissionTo("menus.example", "/cards/x"), 1,
        ReplyKind::kNoQueue},
       {"unsupported", unsupported, 1, ReplyKind::kUnsupported},
       {"no configuration", SubmissionTo("menus.example", "/checks/x"), 0,
        ReplyKind::kNoConfig}}));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.board.config.version = row.config_version;
  const auto effects = entry.Step({row.submission});
  const auto replies = SelectEffects<Reply>(effects);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].kind == row.reply);
  CHECK(SelectMessages<StartRun>(effects).empty());
  const auto decisions = SelectEffects<Decision>(effects);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].event == "job_refused");
}

TEST_CASE("The longest matching path prefix selects the queue",
          "[pool][config]") {
  // Guards against jobs of a queue with a nested path that are handled under
  // the rules of the outer queue.
  struct Row {
    const char* path;
    const char* queue;
  };
  const auto row = GENERATE(
      values<Row>({{"/a/1", "outer"}, {"/a/b/1", "inner"}, {"/c/1", nullptr}}));
  CAPTURE(row.path);
  QueueConfig outer;
  outer.name = "outer";
  outer.host = "h";
  outer.path_prefix = "/a/";
  QueueConfig inner = outer;
  inner.name = "inner";
  inner.path_prefix = "/a/b/";
  const PoolConfig config{1, {inner, outer}};
  const QueueConfig* found = FindQueue(config, "h", row.path);
  REQUIRE((found != nullptr) == (row.queue != nullptr));
  if (found != nullptr) CHECK(found->name == row.queue);
}

TEST_CASE("A configuration is never replaced by an older one",
          "[pool][entry][config]") {
  // Guards against delayed responses of the store or of other entries.
  struct Row {
    std::uint64_t offered;
    std::uint64_t in_force;
  };
  const auto row = GENERATE(values<Row>({{1, 5}, {5, 5}, {9, 9}}));
  CAPTURE(row.offered);
  EntryFixture entry;
  entry.Step({ConfigRead{{5, {}}, std::string("five")}});
  entry.Step({ConfigRead{{row.offered, {}}, std::string("offer")}});
  CHECK(entry.board.config.version == row.in_force);
}

TEST_CASE("A job is refused if the backlog exceeds the caller's timeout",
          "[pool][entry]") {
  // Guards against an overload in which all jobs end past their deadline.
  struct Row {
    milliseconds client_timeout;
    std::size_t replies;
  };
  // Ten tasks of 100 ms wait for one slot: a delay of 1,000 ms.
  const auto row = GENERATE(
      values<Row>({{milliseconds{1'050}, 1}, {milliseconds{1'150}, 0}}));
  CAPTURE(row.client_timeout.count());
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(1));
  entry.Submit(kJob, 11, seconds{10});
  const auto replies =
      SelectEffects<Reply>(entry.Submit(kJob + 1, 1, row.client_timeout));
  REQUIRE(replies.size() == row.replies);
  if (replies.empty()) return;
  CHECK(replies[0].kind == ReplyKind::kOverloaded);
  CHECK(replies[0].retry_after > milliseconds{0});
}

TEST_CASE("A stopping entry accepts jobs for a while and exits when idle",
          "[pool][entry][stop]") {
  // Guards against failed requests during a planned stop: the load balancer
  // needs two checks to notice that the entry is not ready.
  struct Row {
    milliseconds after;
    bool has_job;
    bool accepted;
    bool exits;
  };
  const auto row =
      GENERATE(values<Row>({{milliseconds{100}, false, true, false},
                            {milliseconds{2'700}, false, true, true},
                            {milliseconds{2'700}, true, true, false},
                            {milliseconds{3'100}, true, true, false},
                            {milliseconds{5'200}, true, true, false},
                            {milliseconds{5'400}, true, false, false},
                            {milliseconds{5'700}, true, false, true}}));
  CAPTURE(row.after.count(), row.has_job);
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  if (row.has_job) entry.Submit(kJob, 1, seconds{10});
  CHECK(IsReady(entry.board));
  entry.Step({EntryStopRequested{}});
  CHECK_FALSE(IsReady(entry.board));
  CHECK(SelectEffects<ExitEntry>(entry.AdvanceTime(row.after)).size() ==
        (row.exits ? 1U : 0U));
  const auto late = SelectEffects<Reply>(entry.Submit(kJob + 1, 1));
  CHECK(late.empty() == row.accepted);
  if (!late.empty()) CHECK(late[0].kind == ReplyKind::kStopping);
}

}  // namespace
}  // namespace dottereltrack::pool
