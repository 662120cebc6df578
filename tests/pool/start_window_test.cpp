#include <catch2/catch.hpp>

#include "core/pool/agent/capacity.h"
#include "core/pool/entry/accepted_memory.h"
#include "pool/agent_fixture.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJob = 0x5c0e7a21d94b36f8;

JobSubmitted MakeSubmission(std::uint64_t job, std::uint32_t tasks,
                            std::size_t spec_bytes) {
  JobSpec spec;
  spec.id = job;
  spec.payload = std::string(spec_bytes, 'x');
  spec.steps = {{tasks, {}, milliseconds{100}}};
  return {{job}, "request",   "menus.example", "/checks/" + JobIdToText(job),
          spec,  seconds{600}};
}

TEST_CASE("Starts that no load report covers are limited by their bytes",
          "[pool][entry]") {
  // Guards against tasks without needs, which fit on a minion in any number, in
  // the buffers of the links.
  struct Row {
    std::size_t spec_bytes;
    std::uint64_t agents;
  };
  const auto row =
      GENERATE(values<Row>({{10, 1}, {4'000, 1}, {4'000, 3}, {600'000, 1}}));
  CAPTURE(row.spec_bytes, row.agents);
  EntryFixture entry;
  for (std::uint64_t link = 1; link <= row.agents; ++link) {
    entry.AddAgent(link, "m" + std::to_string(link), ResourcesFor(4));
  }
  const auto starts = SelectMessages<StartRun>(
      entry.Step({MakeSubmission(kJob, 4'096, row.spec_bytes)}));
  std::map<std::uint64_t, std::size_t> sent;
  for (const auto& [link, start] : starts) ++sent[link];
  REQUIRE(sent.size() == row.agents);
  const JobRow& job = *entry.board.jobs.Find(kJob);
  for (const auto& [link, agent] : entry.board.agents) {
    // One start is always sent.
    const bool is_single = sent[link.value] == 1;
    CHECK((is_single || UnreportedBytes(agent) <= StartWindow(entry.board)));
    CHECK(UnreportedBytes(agent) + StartBytes(job, TaskRow{}) >
          StartWindow(entry.board));
  }
  // A report that covers them lets others follow.
  const LoadReport report{sent[1], ResourcesFor(4), true, true, 0};
  CHECK_FALSE(
      SelectMessages<StartRun>(entry.Step({MessageReceived{{1}, report}}))
          .empty());
}

TEST_CASE("The rows of started tasks are limited by their memory",
          "[pool][entry]") {
  // Guards against an entry whose memory is filled by tasks without needs that
  // run on many minions.
  EntryFixture entry;
  entry.board.settings.max_accepted_bytes = 256U << 10;
  for (std::uint64_t link = 1; link <= 20; ++link) {
    entry.AddAgent(link, "m" + std::to_string(link), ResourcesFor(4));
  }
  entry.Step({MakeSubmission(kJob, 4'096, 10)});
  const std::size_t limit = entry.board.settings.max_accepted_bytes;
  CHECK(entry.board.accepted.bytes <= limit + limit / 2);
  CHECK(entry.board.accepted.bytes > limit);
  CHECK(entry.board.tasks.size() < 4'096);
}

TEST_CASE("A minion has room only below the limit of its runs",
          "[pool][agent]") {
  // Guards against runs in any number, which a minion cannot list.
  struct Row {
    std::size_t runs;
    bool has_room;
  };
  const auto row = GENERATE(values<Row>({{0, true}, {2, true}, {3, false}}));
  CAPTURE(row.runs);
  AgentBoard board;
  board.settings.max_runs = 3;
  board.minion = MinionReport{};
  board.minion->capacity = ResourcesFor(4);
  for (std::size_t n = 0; n < row.runs; ++n) {
    RunRow run;
    run.key = {{kJob, 0, static_cast<std::uint32_t>(n)}, 1};
    board.runs.Put(run);
  }
  CHECK(HasAllRuns(board) != row.has_room);
  CHECK(FreeResources(board) == (row.has_room ? ResourcesFor(4) : Resources{}));
}

}  // namespace
}  // namespace dottereltrack::pool
