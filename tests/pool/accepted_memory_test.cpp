#include "core/pool/entry/accepted_memory.h"

#include <catch2/catch.hpp>

#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kFirstJob = 0x1000;
constexpr std::size_t kLimit = 64U << 10;

JobSpec MakeSpec(std::uint64_t id, std::size_t label_bytes) {
  JobSpec spec;
  spec.id = id;
  spec.payload = std::string("payload");
  spec.steps = {{1, {6'000, 64, 0}, milliseconds{100}}};
  spec.steps[0].rules.data_rack = std::string(label_bytes, 'r');
  return spec;
}

std::vector<EntryEffect> SubmitFrom(EntryFixture* entry,
                                    const std::string& source,
                                    std::uint64_t job,
                                    std::size_t label_bytes = 0) {
  JobSubmitted submitted{{entry->next_call++},
                         "request",
                         "menus.example",
                         "/checks/" + JobIdToText(job),
                         MakeSpec(job, label_bytes),
                         seconds{600}};
  submitted.source = source;
  return entry->Step({submitted});
}

// Submits jobs of the source until one is refused; returns the refusal.
Reply SubmitUntilRefused(EntryFixture* entry, const std::string& source,
                         std::uint64_t first_job, std::size_t label_bytes) {
  for (std::uint64_t job = first_job;; ++job) {
    const auto replies =
        SelectEffects<Reply>(SubmitFrom(entry, source, job, label_bytes));
    if (!replies.empty()) return replies[0];
    REQUIRE(job < first_job + kLimit);
  }
}

TEST_CASE("Accepted jobs are limited by their memory", "[pool][entry]") {
  // Guards against jobs that fill the memory of their entry by their number or
  // their labels, and against a source that takes the room of all others.
  struct Row {
    std::size_t label_bytes;
    std::size_t sources;
  };
  const auto row = GENERATE(values<Row>({{0, 1}, {0, 3}, {8'000, 3}}));
  CAPTURE(row.label_bytes, row.sources);
  EntryFixture entry;
  entry.board.settings.max_accepted_bytes = kLimit;
  entry.AddAgent(1, "m1", ResourcesFor(0));
  std::uint64_t first_job = kFirstJob;
  for (std::size_t n = 0; n < row.sources; ++n) {
    const std::string source = "10.0.0." + std::to_string(n);
    const Reply refusal =
        SubmitUntilRefused(&entry, source, first_job, row.label_bytes);
    CHECK(refusal.kind == ReplyKind::kOverloaded);
    CHECK(refusal.retry_after > milliseconds{0});
    CHECK(entry.board.accepted.bytes <= kLimit);
    first_job += kLimit;
  }
  const std::size_t jobs = entry.board.active_jobs.size();
  const std::size_t bytes = MemoryOf(MakeSpec(0, row.label_bytes));
  const std::size_t limit = row.sources == 1 ? kLimit / 2 : kLimit;
  CHECK(jobs == limit / bytes);
  // Another source gets what the first has left.
  const bool is_full = row.sources > 1;
  const auto effects = SubmitFrom(&entry, "10.0.1.1", 1, row.label_bytes);
  CHECK(SelectEffects<Reply>(effects).empty() != is_full);
}

TEST_CASE("Jobs that end give their memory back", "[pool][entry]") {
  // Guards against an entry that refuses jobs for ever after a crowd has left.
  EntryFixture entry;
  entry.AddAgent(1, "m1", ResourcesFor(2));
  entry.board.settings.max_accepted_bytes = kLimit;
  SubmitUntilRefused(&entry, "10.0.0.1", kFirstJob, 0);
  std::vector<EntryEvent> events;
  for (std::uint64_t call = 1; call < entry.next_call; ++call) {
    events.emplace_back(CallerDisconnected{{call}});
  }
  entry.Step(std::move(events));
  CHECK(entry.board.accepted.by_source.empty());
  const std::size_t jobs = entry.board.jobs.size();
  const std::size_t tasks = entry.board.tasks.size();
  CHECK(entry.board.accepted.bytes ==
        jobs * kOutcomeBytes + tasks * MemoryOf(TaskRow{}));
  CHECK(SelectEffects<Reply>(SubmitFrom(&entry, "10.0.0.1", 1)).empty());
}

}  // namespace
}  // namespace dottereltrack::pool
