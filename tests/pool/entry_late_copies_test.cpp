#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "core/pool/entry/job_digests.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;
const Endpoint kLowPeer{"10.0.0.0", 7000};
const Endpoint kHighPeer{"10.0.0.2", 7000};
// Links that the entry has dialed, and those that the peers have dialed.
constexpr LinkId kLowLink{50};
constexpr LinkId kHighLink{51};
constexpr LinkId kFromLow{60};
constexpr LinkId kFromHigh{61};
constexpr LinkId kAgentLink{1};
constexpr milliseconds kClientTimeout{2'000};

EntryEvent Receive(LinkId link, Message message) {
  return MessageReceived{link, std::move(message)};
}

EntryEvent Announce(LinkId link) {
  return Receive(link, AcceptedJobs{{DigestOf(kJob)}});
}

EntryEvent Answer(LinkId link, ForwardedOutcome outcome,
                  milliseconds runs_end_in = milliseconds{0}) {
  return Receive(link, ForwardedJobEnded{kJob, outcome, runs_end_in});
}

EntryEvent Ask(LinkId link, const Endpoint& peer) {
  return Receive(link, FollowJob{kJob, peer, kClientTimeout});
}

// An entry with an agent and two peers, which announce their jobs to it. Its
// address is between theirs.
EntryFixture MakeEntry() {
  EntryFixture entry;
  entry.AddAgent(kAgentLink.value, "m1", ResourcesFor(4));
  entry.Step({EntriesListed{{kLowPeer, kHighPeer}}});
  entry.Step(
      {PeerDialed{kLowPeer, kLowLink}, PeerDialed{kHighPeer, kHighLink}});
  entry.Step({Receive(kLowLink, AcceptedJobs{}),
              Receive(kHighLink, AcceptedJobs{}), LinkOpened{kFromLow},
              LinkOpened{kFromHigh}});
  return entry;
}

std::optional<ReplyKind> ReplyOf(const std::vector<EntryEffect>& effects) {
  const auto replies = SelectEffects<Reply>(effects);
  if (replies.empty()) return std::nullopt;
  return replies.front().kind;
}

std::size_t CountStarts(const std::vector<EntryEffect>& effects) {
  return SelectMessages<StartRun>(effects).size();
}

std::optional<ForwardedOutcome> AnswerOver(
    LinkId link, const std::vector<EntryEffect>& effects) {
  for (const auto& [to, answer] : SelectMessages<ForwardedJobEnded>(effects)) {
    if (to == link.value) return answer.outcome;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("A job that a peer has announced waits for the peers' answers",
          "[pool][entry][late_copy]") {
  // Guards against a copy that starts a job which another entry has at work or
  // has ended, and against one that waits for a peer that is gone.
  using Outcome = ForwardedOutcome;
  struct Row {
    const char* name;
    std::vector<EntryEvent> events;
    std::size_t starts;
    std::optional<ReplyKind> reply;
  };
  const auto row = GENERATE(values<Row>({
      {"one is silent", {Answer(kLowLink, Outcome::kUnknown)}, 0, std::nullopt},
      {"both do not know it",
       {Answer(kLowLink, Outcome::kUnknown),
        Answer(kHighLink, Outcome::kUnknown)},
       1,
       std::nullopt},
      {"one answers twice",
       {Answer(kLowLink, Outcome::kUnknown),
        Answer(kLowLink, Outcome::kUnknown)},
       0,
       std::nullopt},
      {"one has completed it",
       {Answer(kHighLink, Outcome::kCompleted)},
       0,
       ReplyKind::kCompleted},
      {"one has failed it",
       {Answer(kHighLink, Outcome::kFailed)},
       0,
       ReplyKind::kFailed},
      {"it was cancelled at one",
       {Answer(kHighLink, Outcome::kCancelled)},
       0,
       ReplyKind::kCancelled},
      {"one has given it up",
       {Answer(kLowLink, Outcome::kGivenUp),
        Answer(kHighLink, Outcome::kUnknown)},
       1,
       std::nullopt},
      {"one has given it up and may have runs",
       {Answer(kLowLink, Outcome::kGivenUp, milliseconds{1'300}),
        Answer(kHighLink, Outcome::kUnknown)},
       0,
       std::nullopt},
      {"one has it at work",
       {Answer(kHighLink, Outcome::kAtWork),
        Answer(kLowLink, Outcome::kUnknown)},
       0,
       std::nullopt},
      {"one has it at work and completes it",
       {Answer(kHighLink, Outcome::kAtWork),
        Answer(kHighLink, Outcome::kCompleted)},
       0,
       ReplyKind::kCompleted},
      {"one has it at work and gives it up",
       {Answer(kHighLink, Outcome::kAtWork),
        Answer(kHighLink, Outcome::kGivenUp)},
       0,
       ReplyKind::kGivenUp},
      {"one has it at work and refuses it without a start",
       {Answer(kHighLink, Outcome::kAtWork),
        Answer(kHighLink, Outcome::kRefused)},
       1,
       std::nullopt},
      {"one has it at work and is lost",
       {Answer(kHighLink, Outcome::kAtWork), LinkClosed{kHighLink}},
       0,
       ReplyKind::kGivenUp},
      {"the one that has announced it is lost, the other does not know it",
       {LinkClosed{kHighLink}, Answer(kLowLink, Outcome::kUnknown)},
       0,
       std::nullopt},
      {"the other is lost, and the one that has announced it ends it",
       {LinkClosed{kLowLink}, Answer(kHighLink, Outcome::kCompleted)},
       0,
       ReplyKind::kCompleted},
      {"the other is lost, and the one that has announced it does not know it",
       {LinkClosed{kLowLink}, Answer(kHighLink, Outcome::kUnknown)},
       1,
       std::nullopt},
  }));
  CAPTURE(row.name);
  EntryFixture entry = MakeEntry();
  entry.Step({Announce(kHighLink)});
  const auto asked = entry.Submit(kJob, 1, kClientTimeout);
  CHECK(CountStarts(asked) == 0);
  CHECK(SelectMessages<FollowJob>(asked).size() == 2);
  std::size_t starts = 0;
  std::optional<ReplyKind> reply;
  for (const EntryEvent& event : row.events) {
    const auto effects = entry.Step({event});
    starts += CountStarts(effects);
    if (!reply) reply = ReplyOf(effects);
  }
  CHECK(starts == row.starts);
  CHECK(reply == row.reply);
  // No client waits beyond its deadline, whatever the peers do.
  const auto late = entry.AdvanceTime(kClientTimeout);
  CHECK(ReplyOf(late).has_value() == !row.reply.has_value());
  CHECK(entry.board.pending_submissions.empty());
  CHECK(entry.board.active_jobs.empty());
}

TEST_CASE("A job of a lost peer starts when the peer's runs have ended",
          "[pool][entry][late_copy]") {
  // Guards against a start beside the runs of a peer that is gone, and against
  // a job that hangs on it.
  EntryFixture entry = MakeEntry();
  entry.Step({Announce(kHighLink)});
  entry.Step({LinkClosed{kHighLink}});
  entry.Submit(kJob, 1, milliseconds{5'000});
  CHECK(CountStarts(
            entry.Step({Answer(kLowLink, ForwardedOutcome::kUnknown)})) == 0);
  const milliseconds wait = entry.board.settings.max_forwarded_run_time;
  CHECK(CountStarts(entry.AdvanceTime(wait - milliseconds{1})) == 0);
  CHECK(CountStarts(entry.AdvanceTime(milliseconds{1})) == 1);
}

TEST_CASE("A peer that asks for a job is told what this entry knows of it",
          "[pool][entry][late_copy]") {
  // Guards against a peer that starts a job which this entry has, and against
  // two entries that wait for each other.
  using Outcome = ForwardedOutcome;
  struct Row {
    const char* name;
    // Of the job here, before the question.
    bool is_submitted;
    bool is_held;
    std::vector<EntryEvent> events;
    LinkId link;
    Endpoint peer;
    Outcome answer;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"unknown", false, false, {}, kFromHigh, kHighPeer, Outcome::kUnknown},
      {"at work", true, false, {}, kFromHigh, kHighPeer, Outcome::kAtWork},
      {"at work, the peer goes first",
       true,
       false,
       {},
       kFromLow,
       kLowPeer,
       Outcome::kAtWork},
      {"held, this entry goes first",
       true,
       true,
       {},
       kFromHigh,
       kHighPeer,
       Outcome::kAtWork},
      {"held, the peer goes first",
       true,
       true,
       {},
       kFromLow,
       kLowPeer,
       Outcome::kUnknown},
      {"cancelled",
       true,
       false,
       {JobCancelRequested{{90}, kJob}},
       kFromHigh,
       kHighPeer,
       Outcome::kCancelled},
      {"given up",
       true,
       false,
       {CallerDisconnected{{1}}},
       kFromHigh,
       kHighPeer,
       Outcome::kGivenUp},
  }));
  CAPTURE(row.name);
  EntryFixture entry = MakeEntry();
  if (row.is_held) entry.Step({Announce(kHighLink)});
  if (row.is_submitted) entry.Submit(kJob, 1, kClientTimeout);
  for (const EntryEvent& event : row.events) entry.Step({event});
  const auto effects = entry.Step({Ask(row.link, row.peer)});
  CHECK(AnswerOver(row.link, effects) == row.answer);
}

TEST_CASE("The end of a job is told to the entry that follows it",
          "[pool][entry][late_copy]") {
  // Guards against callers of a copy that wait for ever, and against a job that
  // goes on for an entry that is gone.
  EntryFixture entry = MakeEntry();
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  REQUIRE(starts.size() == 1);
  entry.Step({Ask(kFromHigh, kHighPeer)});
  SECTION("completed") {
    const auto effects = entry.Step({Receive(
        kAgentLink, RunEnded{starts[0].second.run, RunEnd::kDone, {}})});
    CHECK(AnswerOver(kFromHigh, effects) == ForwardedOutcome::kCompleted);
  }
  SECTION("its own caller leaves, then the other one") {
    CHECK(
        SelectMessages<StopRun>(entry.Step({CallerDisconnected{{1}}})).empty());
    const auto effects =
        entry.Step({Receive(kFromHigh, CancelJob{0, kJob, false})});
    CHECK(SelectMessages<StopRun>(effects).size() == 1);
  }
  SECTION("its own caller leaves, then the link breaks") {
    entry.Step({CallerDisconnected{{1}}});
    CHECK(SelectMessages<StopRun>(entry.Step({LinkClosed{kFromHigh}})).size() ==
          1);
  }
}

TEST_CASE(
    "Of two entries that have begun a job, the one with the lower "
    "address goes on",
    "[pool][entry][late_copy]") {
  // Guards against entries that decide differently about attempts that reach
  // them within a link's delay of each other.
  EntryFixture entry = MakeEntry();
  REQUIRE(CountStarts(entry.Submit(kJob, 1)) == 1);
  SECTION("this one") {
    const auto effects = entry.Step({Announce(kHighLink)});
    CHECK(SelectMessages<FollowJob>(effects).empty());
  }
  SECTION("the peer") {
    const auto asked = entry.Step({Announce(kLowLink)});
    REQUIRE(SelectMessages<FollowJob>(asked).size() == 1);
    const auto effects =
        entry.Step({Answer(kLowLink, ForwardedOutcome::kAtWork)});
    CHECK(SelectMessages<StopRun>(effects).size() == 1);
    CHECK(
        ReplyOf(entry.Step({Answer(kLowLink, ForwardedOutcome::kCompleted)})) ==
        ReplyKind::kCompleted);
  }
  SECTION("the peer, whose job has the same digest only") {
    entry.Step({Announce(kLowLink)});
    const auto effects =
        entry.Step({Answer(kLowLink, ForwardedOutcome::kUnknown)});
    CHECK(SelectMessages<StopRun>(effects).empty());
  }
}

TEST_CASE("Accepted jobs are announced once in a ping interval",
          "[pool][entry][late_copy]") {
  // Guards against a message for each job, against a job whose outcome is told
  // to its client before the peers know of it, and against a peer with a new
  // link that knows no job of the last minute.
  EntryFixture entry = MakeEntry();
  EntryHello hello{9, {kHighPeer}, {}};
  hello.wants_accepted_jobs = true;
  entry.Step({Receive(kFromHigh, hello)});
  const auto announced = [&](const std::vector<EntryEffect>& effects) {
    std::size_t count = 0;
    for (const auto& [link, it] : SelectMessages<AcceptedJobs>(effects)) {
      CHECK(link == kFromHigh.value);
      count += it.digests.size();
    }
    return count;
  };
  CHECK(announced(entry.Submit(1, 1)) == 1);
  const auto starts = SelectMessages<StartRun>(entry.Submit(2, 1));
  CHECK(announced(entry.Submit(3, 1)) == 0);
  SECTION("at the end of the interval") {
    CHECK(announced(entry.AdvanceTime(milliseconds{99})) == 0);
    CHECK(announced(entry.AdvanceTime(milliseconds{1})) == 2);
  }
  SECTION("with the outcome of a job") {
    REQUIRE(starts.size() == 1);
    CHECK(announced(entry.Step({Receive(
              kAgentLink,
              RunEnded{starts[0].second.run, RunEnd::kDone, {}})})) == 2);
  }
  SECTION("over a new link") {
    entry.AdvanceTime(milliseconds{100});
    entry.Step({LinkClosed{kFromHigh}, LinkOpened{kFromHigh}});
    CHECK(announced(entry.Step({Receive(kFromHigh, hello)})) == 3);
    CHECK(announced(entry.Step({Receive(kFromHigh, hello)})) == 0);
  }
}

TEST_CASE("An entry that has just started waits for its peers' announcements",
          "[pool][entry][late_copy]") {
  // Guards against a copy that runs because the entry does not know yet what
  // its peers have at work, and against an entry that waits for a dead peer.
  struct Row {
    const char* name;
    std::vector<EntryEvent> events;
    bool starts;
  };
  const auto row = GENERATE(values<Row>({
      {"no peer has answered", {}, false},
      {"both announce other jobs",
       {Receive(kLowLink, AcceptedJobs{}), Receive(kHighLink, AcceptedJobs{})},
       true},
      {"one cannot be reached",
       {Receive(kLowLink, AcceptedJobs{}), LinkClosed{kHighLink},
        PeerDialed{kHighPeer, std::nullopt}},
       true},
      {"one has the job",
       {Receive(kLowLink, AcceptedJobs{}), Announce(kHighLink)},
       false},
  }));
  CAPTURE(row.name);
  EntryFixture entry;
  entry.board.started_at = entry.now.boot;
  entry.AddAgent(kAgentLink.value, "m1", ResourcesFor(4));
  entry.Step({EntriesListed{{kLowPeer, kHighPeer}}});
  entry.Step(
      {PeerDialed{kLowPeer, kLowLink}, PeerDialed{kHighPeer, kHighLink}});
  CHECK(CountStarts(entry.Submit(kJob, 1)) == 0);
  std::size_t starts = 0;
  for (const EntryEvent& event : row.events) {
    starts += CountStarts(entry.Step({event}));
  }
  CHECK(starts == (row.starts ? 1U : 0U));
}

TEST_CASE("A followed job that is taken back counts its earlier tasks as done",
          "[pool][entry][late_copy]") {
  // Guards against a job that waits until its deadline for tasks that an
  // earlier submission at this entry has completed.
  EntryFixture entry = MakeEntry();
  const auto first = SelectMessages<StartRun>(entry.Submit(kJob, 2));
  REQUIRE(first.size() == 2);
  const auto end = [&](const StartRun& start, RunEnd how) {
    return entry.Step({Receive(kAgentLink, RunEnded{start.run, how, {}})});
  };
  end(first[0].second, RunEnd::kDone);
  entry.Step({CallerDisconnected{{1}}});
  end(first[1].second, RunEnd::kStopped);
  entry.Step({Announce(kHighLink)});
  entry.Submit(kJob, 2);
  entry.Step({Answer(kHighLink, ForwardedOutcome::kAtWork)});
  const auto again = SelectMessages<StartRun>(
      entry.Step({Answer(kHighLink, ForwardedOutcome::kRefused)}));
  REQUIRE(again.size() == 1);
  CHECK(ReplyOf(end(again[0].second, RunEnd::kDone)) == ReplyKind::kCompleted);
}

}  // namespace dottereltrack::pool
