#include "core/pool/entry/forwarding.h"

#include <catch2/catch.hpp>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kAgentLink = 1;
// Links that the entry has dialed to peers, and one that a peer has dialed.
constexpr std::uint64_t kNearPeer = 21;
constexpr std::uint64_t kFarPeer = 22;
constexpr std::uint64_t kCallingPeer = 31;

// An entry with two peers and an agent.
class ForwardingFixture : public EntryFixture {
 public:
  ForwardingFixture() {
    board.settings.data_centre = "north";
    AddAgent(kAgentLink, "m1", ResourcesFor(40));
    AddPeer(kNearPeer, "10.0.0.2");
    AddPeer(kFarPeer, "10.0.0.3");
    Step({LinkOpened{{kCallingPeer}}});
  }

  std::vector<EntryEffect> Receive(std::uint64_t link, Message message) {
    return Step({MessageReceived{{link}, std::move(message)}});
  }
  std::vector<EntryEffect> SetLoad(double busy_share) {
    return Step({LoopLoadMeasured{busy_share, milliseconds{0}}});
  }
  void Offer(std::uint64_t link, std::uint32_t jobs, std::string data_centre,
             std::uint64_t handled = 0) {
    EntryLoad load;
    load.offered_jobs = jobs;
    load.handled_jobs = handled;
    load.data_centre = std::move(data_centre);
    Receive(link, load);
  }
  // Submits jobs and returns the links over which they were forwarded.
  std::vector<std::uint64_t> SubmitAndForward(std::uint64_t first, int count) {
    std::vector<std::uint64_t> links;
    for (int n = 0; n < count; ++n) {
      for (const auto& [link, job] :
           SelectMessages<ForwardJob>(Submit(first + n, 2))) {
        links.push_back(link);
      }
    }
    return links;
  }

 private:
  void AddPeer(std::uint64_t link, const std::string& host) {
    Step({EntriesListed{{{host, 7000}}},
          PeerDialed{{host, 7000}, LinkId{link}}});
  }
};

ForwardJob MakeForwardedJob(std::uint64_t id) {
  ForwardJob job;
  job.job.id = id;
  job.job.payload = std::string("payload");
  job.job.steps = {{2, {6'000, 64, 0}, milliseconds{100}}};
  job.request_id = "request";
  job.host = "menus.example";
  job.path = "/checks/";
  job.config_version = 1;
  job.age = milliseconds{5};
  job.client_timeout = milliseconds{1'000};
  return job;
}

using Links = std::vector<std::uint64_t>;

TEST_CASE("An entry that is not overloaded sends nothing about load",
          "[pool][entry][overload]") {
  // Guards against messages that entries with enough processor time pay for.
  ForwardingFixture entry;
  const double busy_share = GENERATE(0.0, 0.3, 0.59);
  for (int n = 0; n < 100; ++n) {
    CHECK(SelectMessages<EntryLoad>(entry.SetLoad(busy_share)).empty());
    CHECK(
        SelectMessages<EntryLoad>(entry.AdvanceTime(milliseconds{25})).empty());
  }
  entry.Offer(kNearPeer, 5, "north");
  CHECK(entry.SubmitAndForward(100, 3).empty());
}

TEST_CASE("Overload is announced once, and its end",
          "[pool][entry][overload]") {
  // Guards against repeated announcements and peers that go on offering.
  ForwardingFixture entry;
  CHECK(SelectMessages<EntryLoad>(entry.SetLoad(0.7)).size() == 2);
  CHECK(SelectMessages<EntryLoad>(entry.SetLoad(0.9)).empty());
  const auto ends = SelectMessages<EntryLoad>(entry.SetLoad(0.3));
  REQUIRE(ends.size() == 2);
  CHECK_FALSE(ends[0].second.is_overloaded);
  CHECK(SelectMessages<EntryLoad>(entry.SetLoad(0.2)).empty());
}

TEST_CASE("Jobs are forwarded within the offers, first to a near peer",
          "[pool][entry][overload]") {
  // Guards against more jobs than a peer has offered to take, also while offers
  // and jobs are on their way, and against needless traffic between data
  // centres.
  ForwardingFixture entry;
  entry.SetLoad(1.0);
  CHECK(entry.SubmitAndForward(100, 1).empty());
  entry.Offer(kNearPeer, 2, "north");
  entry.Offer(kFarPeer, 9, "south");
  CHECK(entry.SubmitAndForward(110, 4) ==
        Links{kNearPeer, kNearPeer, kFarPeer, kFarPeer});
  // The peer had received one of the two jobs when it made this offer.
  entry.Offer(kNearPeer, 2, "north", 1);
  CHECK(entry.SubmitAndForward(120, 2) == Links{kNearPeer, kFarPeer});
}

TEST_CASE("A job is forwarded only if none of its tasks was started",
          "[pool][entry][overload]") {
  // Guards against two owners of one run, and against chains of entries.
  ForwardingFixture entry;
  CHECK(SelectMessages<StartRun>(entry.Submit(100, 2)).size() == 2);
  // Waits for room, which nobody has.
  entry.Submit(101, 60);
  entry.Submit(102, 60);
  CHECK(SelectMessages<StartRun>(
            entry.Receive(kCallingPeer, MakeForwardedJob(103)))
            .size() == 0);
  entry.SetLoad(1.0);
  entry.Offer(kNearPeer, 9, "north");
  std::vector<std::uint64_t> forwarded;
  for (const auto& [id, job] : entry.board.jobs) {
    if (job.forwarded_to) forwarded.push_back(id);
  }
  CHECK(forwarded == std::vector<std::uint64_t>{102});
}

TEST_CASE("The owner answers each reply to a forwarded job over its link",
          "[pool][entry][overload]") {
  // Guards against outcomes that do not reach the first entry.
  ForwardingFixture owner;
  const auto starts = SelectMessages<StartRun>(
      owner.Receive(kCallingPeer, MakeForwardedJob(7)));
  REQUIRE(starts.size() == 2);
  CHECK(owner.board.jobs.Find(7)->arrived_at ==
        owner.now.boot - milliseconds{5});
  std::vector<std::pair<std::uint64_t, ForwardedJobEnded>> ends;
  for (const auto& [link, start] : starts) {
    ends = SelectMessages<ForwardedJobEnded>(owner.Receive(
        kAgentLink, RunEnded{start.run, RunEnd::kDone, milliseconds{90}}));
  }
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].first == kCallingPeer);
  CHECK(ends[0].second.outcome == ForwardedOutcome::kCompleted);
  CHECK(owner.board.forwarded_calls.empty());
}

TEST_CASE("A job that a peer also waits for is stopped like a forwarded one",
          "[pool][entry][overload]") {
  // Guards against runs that outlive the bound because the job was first
  // submitted by a client of the owner.
  const bool is_from_peer = GENERATE(true, false);
  ForwardingFixture owner;
  owner.Submit(7, 2);
  if (is_from_peer) owner.Receive(kCallingPeer, MakeForwardedJob(7));
  const auto stops = SelectMessages<StopRun>(
      owner.Step({JobCancelRequested{{owner.next_call++}, 7}}));
  REQUIRE(stops.size() == 2);
  CHECK(stops[0].second.withholds_lease == is_from_peer);
}

TEST_CASE("An owner refuses what it cannot run", "[pool][entry][overload]") {
  // Guards against jobs that an entry accepts by an older configuration, while
  // it stops, or while it is overloaded itself.
  enum class Why { kOlderConfig, kStopping, kOverloaded, kNoQueue, kNoTime };
  const Why why = GENERATE(Why::kOlderConfig, Why::kStopping, Why::kOverloaded,
                           Why::kNoQueue, Why::kNoTime);
  ForwardingFixture owner;
  ForwardJob job = MakeForwardedJob(7);
  if (why == Why::kOlderConfig) job.config_version = 2;
  if (why == Why::kStopping) owner.Step({EntryStopRequested{}});
  if (why == Why::kOverloaded) owner.SetLoad(0.9);
  if (why == Why::kNoQueue) job.host = "other.example";
  if (why == Why::kNoTime) job.client_timeout = milliseconds{50};
  const auto effects = owner.Receive(kCallingPeer, job);
  const auto ends = SelectMessages<ForwardedJobEnded>(effects);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].second.outcome == ForwardedOutcome::kRefused);
  CHECK(SelectMessages<StartRun>(effects).empty());
  CHECK(owner.board.forwarded_calls.empty());
}

TEST_CASE("A refused job is run by its first entry, or refused there",
          "[pool][entry][overload]") {
  // Guards against callers without an answer, jobs that are forwarded again and
  // again, and refusals after the job has begun.
  struct Row {
    int age_ms;
    bool is_stopping;
    std::optional<ReplyKind> reply;
  };
  const auto row = GENERATE(values<Row>({{5, false, std::nullopt},
                                         {1'950, false, ReplyKind::kOverloaded},
                                         {5, true, ReplyKind::kStopping}}));
  CAPTURE(row.age_ms, row.is_stopping);
  ForwardingFixture entry;
  entry.SetLoad(1.0);
  entry.Offer(kNearPeer, 9, "north");
  REQUIRE(entry.SubmitAndForward(100, 1) == Links{kNearPeer});
  for (int n = 0; n < row.age_ms / 5; ++n) entry.AdvanceTime(milliseconds{5});
  if (row.is_stopping) entry.Step({EntryStopRequested{}});
  const auto effects = entry.Receive(
      kNearPeer, ForwardedJobEnded{100, ForwardedOutcome::kRefused});
  const auto replies = SelectEffects<Reply>(effects);
  CHECK(SelectMessages<ForwardJob>(effects).empty());
  CHECK(SelectMessages<StartRun>(effects).size() == (row.reply ? 0U : 2U));
  REQUIRE(replies.size() == (row.reply ? 1U : 0U));
  if (row.reply) CHECK(replies[0].kind == *row.reply);
}

TEST_CASE("Each outcome of the owner reaches the caller",
          "[pool][entry][overload]") {
  // Guards against an outcome that is reported as another one.
  struct Row {
    ForwardedOutcome outcome;
    ReplyKind reply;
    JobState state;
  };
  const auto row = GENERATE(values<Row>(
      {{ForwardedOutcome::kCompleted, ReplyKind::kCompleted,
        JobState::kCompleted},
       {ForwardedOutcome::kFailed, ReplyKind::kFailed, JobState::kFailed},
       {ForwardedOutcome::kCancelled, ReplyKind::kCancelled,
        JobState::kAbandoned},
       {ForwardedOutcome::kGivenUp, ReplyKind::kGivenUp,
        JobState::kAbandoned}}));
  ForwardingFixture entry;
  entry.SetLoad(1.0);
  entry.Offer(kNearPeer, 9, "north");
  REQUIRE(entry.SubmitAndForward(100, 1) == Links{kNearPeer});
  // Another link says nothing about the job.
  CHECK(SelectEffects<Reply>(
            entry.Receive(kFarPeer, ForwardedJobEnded{100, row.outcome}))
            .empty());
  const auto effects =
      entry.Receive(kNearPeer, ForwardedJobEnded{100, row.outcome});
  const auto replies = SelectEffects<Reply>(effects);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].kind == row.reply);
  CHECK(SelectMessages<CancelJob>(effects).empty());
  CHECK(entry.board.jobs.Find(100)->state == row.state);
}

TEST_CASE("A peer's cancel ends a job for all, a caller that left for itself",
          "[pool][entry][overload]") {
  // Guards against jobs that go on without a caller, and against jobs that stop
  // although another caller waits.
  const bool caller_left = GENERATE(true, false);
  const bool has_other_caller = GENERATE(true, false);
  ForwardingFixture owner;
  owner.Receive(kCallingPeer, MakeForwardedJob(7));
  if (has_other_caller) owner.Submit(7, 2);
  const auto effects =
      owner.Receive(kCallingPeer, CancelJob{4, 7, !caller_left});
  const bool goes_on = caller_left && has_other_caller;
  CHECK(SelectMessages<StopRun>(effects).size() == (goes_on ? 0U : 2U));
  CHECK(SelectMessages<JobCancelled>(effects).size() ==
        (caller_left ? 0U : 1U));
  CHECK((owner.board.jobs.Find(7)->state == JobState::kActive) == goes_on);
}

}  // namespace
}  // namespace dottereltrack::pool
