#include <catch2/catch.hpp>
#include <optional>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;
constexpr CallId kCall{90};
const Endpoint kPeerA{"10.0.0.2", 7000};
const Endpoint kPeerB{"10.0.0.3", 7000};
constexpr LinkId kLinkA{50};
constexpr LinkId kLinkB{51};

// An entry with links to two others.
EntryFixture MakeEntryWithPeers() {
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(4));
  entry.Step({EntriesListed{{kPeerA, kPeerB}}});
  entry.Step({PeerDialed{kPeerA, kLinkA}, PeerDialed{kPeerB, kLinkB}});
  return entry;
}

EntryEvent Answer(LinkId link, bool was_known) {
  return MessageReceived{link, JobCancelled{kCall.value, kJob, was_known}};
}

std::optional<ReplyKind> ReplyToCancel(
    const std::vector<EntryEffect>& effects) {
  for (const Reply& it : SelectEffects<Reply>(effects)) {
    if (it.call == kCall) return it.kind;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("A cancel of an unknown job is answered for the whole pool",
          "[pool][entry][cancel]") {
  // Guards against a 410 while another entry starts the job's tasks, and
  // against a client that gets no answer because an entry is gone.
  struct Row {
    const char* name;
    std::vector<EntryEvent> before;
    std::vector<EntryEvent> after;
    // Empty if there is no reply until the timeout.
    std::optional<ReplyKind> reply;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"both do not know it",
       {},
       {Answer(kLinkA, false), Answer(kLinkB, false)},
       ReplyKind::kUnknownJob},
      {"the second knows it",
       {},
       {Answer(kLinkA, false), Answer(kLinkB, true)},
       ReplyKind::kCancelled},
      {"one knows it, the other is silent",
       {},
       {Answer(kLinkA, true)},
       ReplyKind::kCancelled},
      {"one is silent", {}, {Answer(kLinkA, false)}, std::nullopt},
      {"one answers twice",
       {},
       {Answer(kLinkA, false), Answer(kLinkA, false)},
       std::nullopt},
      {"the link breaks",
       {},
       {Answer(kLinkA, false), LinkClosed{kLinkB}},
       ReplyKind::kCancelUndecided},
      {"one is cut off",
       {LinkClosed{kLinkB}},
       {Answer(kLinkA, false)},
       ReplyKind::kCancelUndecided},
      {"one is cut off, the other knows it",
       {LinkClosed{kLinkB}},
       {Answer(kLinkA, true)},
       ReplyKind::kCancelled},
      {"one has left",
       {EntriesListed{{kPeerA}}, LinkClosed{kLinkB}},
       {Answer(kLinkA, false)},
       ReplyKind::kUnknownJob},
  }));
  CAPTURE(row.name);
  EntryFixture entry = MakeEntryWithPeers();
  for (const EntryEvent& it : row.before) entry.Step({it});
  const auto asked = entry.Step({JobCancelRequested{kCall, kJob}});
  CHECK_FALSE(ReplyToCancel(asked));
  for (const auto& [link, cancel] : SelectMessages<CancelJob>(asked)) {
    CHECK(cancel == CancelJob{kCall.value, kJob, true});
  }
  CHECK(ReplyToCancel(entry.Step(row.after)) == row.reply);
  const auto timeout = entry.board.settings.cancel_timeout;
  CHECK_FALSE(ReplyToCancel(entry.AdvanceTime(timeout - milliseconds{1})));
  const auto late = ReplyToCancel(entry.AdvanceTime(milliseconds{1}));
  CHECK(late == (row.reply ? std::nullopt
                           : std::optional(ReplyKind::kCancelUndecided)));
  CHECK(entry.board.pending_cancels.empty());
}

TEST_CASE("An entry without peers knows all jobs", "[pool][entry][cancel]") {
  // Guards against a pool of one entry that lets clients ask again for ever.
  EntryFixture entry;
  CHECK(ReplyToCancel(entry.Step({JobCancelRequested{kCall, kJob}})) ==
        ReplyKind::kUnknownJob);
}

TEST_CASE("A cancel that overtakes its job prevents it",
          "[pool][entry][cancel]") {
  // Guards against a job that starts after its cancel was acknowledged, at the
  // entry that acknowledged it or at another one.
  const bool at_peer = GENERATE(false, true);
  CAPTURE(at_peer);
  EntryFixture entry = MakeEntryWithPeers();
  if (at_peer) {
    entry.Step({MessageReceived{kLinkA, CancelJob{5, kJob, true}}});
  } else {
    entry.Step({JobCancelRequested{kCall, kJob}});
    entry.Step({Answer(kLinkA, false), Answer(kLinkB, false)});
  }
  entry.AdvanceTime(milliseconds{6'000});
  const auto effects = entry.Submit(kJob, 2);
  CHECK(SelectMessages<StartRun>(effects).empty());
  CHECK(SelectEffects<Reply>(effects) ==
        std::vector<Reply>{{{1}, ReplyKind::kCancelled}});
}

TEST_CASE("An entry cancels its job for another entry",
          "[pool][entry][cancel]") {
  // Guards against runs that go on after a cancel at another entry, and against
  // a copy of the job that runs after it.
  EntryFixture entry = MakeEntryWithPeers();
  const auto starts = SelectMessages<StartRun>(entry.Submit(kJob, 1));
  REQUIRE(starts.size() == 1);
  const auto effects =
      entry.Step({MessageReceived{kLinkB, CancelJob{5, kJob, true}}});
  CHECK(SelectMessages<StopRun>(effects).size() == 1);
  CHECK(SelectMessages<JobCancelled>(effects) ==
        std::vector<std::pair<std::uint64_t, JobCancelled>>{
            {kLinkB.value, {5, kJob, true}}});
  entry.Step({MessageReceived{
      {1}, RunEnded{starts[0].second.run, RunEnd::kStopped, {}}}});
  const auto again = entry.Submit(kJob, 1);
  CHECK(SelectMessages<StartRun>(again).empty());
}

TEST_CASE("The owner of a cancelled job tells the other entries",
          "[pool][entry][cancel]") {
  // Guards against a copy of the submission that runs at another entry.
  EntryFixture entry = MakeEntryWithPeers();
  entry.Submit(kJob, 1);
  const auto effects = entry.Step({JobCancelRequested{kCall, kJob}});
  CHECK(ReplyToCancel(effects) == ReplyKind::kCancelled);
  CHECK(SelectMessages<CancelJob>(effects).size() == 2);
}

TEST_CASE("An entry with a new link is told of recent cancels",
          "[pool][entry][cancel]") {
  // Guards against an entry that was frozen or cut off when a job was cancelled
  // and starts its tasks afterwards.
  const auto age =
      GENERATE(values({milliseconds{5'000}, milliseconds{30'000}}));
  CAPTURE(age.count());
  EntryFixture entry = MakeEntryWithPeers();
  entry.Step({JobCancelRequested{kCall, kJob}});
  entry.AdvanceTime(age);
  entry.Step({LinkClosed{kLinkB}});
  const auto told =
      SelectMessages<CancelJob>(entry.Step({PeerDialed{kPeerB, LinkId{52}}}));
  CHECK(told.size() == (age < seconds{10} ? 1U : 0U));
}

TEST_CASE("In a pool with subsets of links a cancel is passed on once",
          "[pool][entry][cancel]") {
  // Guards against a cancel that does not reach an entry without a link to the
  // one that the client has asked, and against cancels that circulate.
  EntryFixture entry;
  entry.board.settings.max_entry_links = 1;
  entry.Step({EntriesListed{{kPeerA, kPeerB}}});
  entry.Step({PeerDialed{kPeerA, kLinkA}});
  const EntryEvent cancel = MessageReceived{{60}, CancelJob{5, kJob, true}};
  CHECK(SelectMessages<CancelJob>(entry.Step({cancel})).size() == 1);
  CHECK(SelectMessages<CancelJob>(entry.Step({cancel})).empty());
}

}  // namespace dottereltrack::pool
