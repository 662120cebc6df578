#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "core/pool/entry/crashes.h"
#include "pool/entry_fixture.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kMaxId = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kTasks = 2;

// Ids at both ends of the range; clients choose any of them.
const std::vector<std::uint64_t> kIds{0, 1, kMaxId - 1, kMaxId};

// An entry with a job of each id. The jobs run on one minion each.
EntryFixture MakeEntryWithJobs() {
  EntryFixture entry;
  for (std::uint64_t n = 1; n <= kIds.size(); ++n) {
    entry.AddAgent(n, "m" + std::to_string(n), ResourcesFor(kTasks));
  }
  for (const std::uint64_t id : kIds) {
    entry.Submit(id, kTasks, id == kIds.back() ? seconds{1} : seconds{9});
  }
  return entry;
}

std::vector<EntryEvent> DoneEvents(const EntryBoard& board, std::uint64_t job) {
  std::vector<EntryEvent> events;
  for (const auto& [key, task] : board.tasks) {
    if (key.job != job) continue;
    events.emplace_back(MessageReceived{
        task.link, RunEnded{{key, task.run_number}, RunEnd::kDone, {}}});
  }
  return events;
}

TEST_CASE("The range of a job's tasks ends before those of other jobs",
          "[pool][entry]") {
  // Guards against a range that wraps around for the highest id, so that an
  // entry iterates for ever.
  const std::uint64_t id = GENERATE(from_range(kIds));
  CAPTURE(id);
  const EntryFixture entry = MakeEntryWithJobs();
  const auto& tasks = entry.board.tasks;
  REQUIRE(tasks.size() == kIds.size() * kTasks);
  const auto [begin, end] = TasksOf(entry.board, id);
  CHECK(begin == std::find_if(tasks.begin(), tasks.end(), [&](const auto& it) {
          return it.first.job == id;
        }));
  CHECK(end == std::find_if(tasks.begin(), tasks.end(),
                            [&](const auto& it) { return it.first.job > id; }));
}

TEST_CASE("A job with the highest id ends like any other", "[pool][entry]") {
  // Guards against an entry that hangs, or removes the tasks of other jobs,
  // when the job with the highest id ends while others are open.
  struct Row {
    const char* name;
    std::vector<EntryEffect> (*act)(EntryFixture*);
    ReplyKind reply;
  };
  const auto row = GENERATE(values<Row>({
      {"deadline",
       [](EntryFixture* entry) { return entry->AdvanceTime(seconds{1}); },
       ReplyKind::kGivenUp},
      {"completion",
       [](EntryFixture* entry) {
         return entry->Step(DoneEvents(entry->board, kMaxId));
       },
       ReplyKind::kCompleted},
      {"cancel",
       [](EntryFixture* entry) {
         return entry->Step({JobCancelRequested{{90}, kMaxId}});
       },
       ReplyKind::kCancelled},
  }));
  CAPTURE(row.name);
  EntryFixture entry = MakeEntryWithJobs();
  const auto replies = SelectEffects<Reply>(row.act(&entry));
  REQUIRE_FALSE(replies.empty());
  CHECK(replies[0].kind == row.reply);
  CHECK(entry.board.active_jobs.size() == kIds.size() - 1);
  for (const std::uint64_t id : kIds) {
    if (id == kMaxId) continue;
    const auto [begin, end] = TasksOf(entry.board, id);
    CHECK(std::distance(begin, end) == kTasks);
    CHECK(std::all_of(begin, end, [](const auto& it) {
      return it.second.state == TaskState::kPlaced;
    }));
  }
}

TEST_CASE("Crashes under other jobs do not count for the highest id",
          "[pool][entry][crash]") {
  // Guards against an entry that hangs when the job is submitted after a minion
  // has crashed with several tasks.
  EntryFixture entry;
  for (const char* minion : {"m1", "m2"}) {
    const CrashReport report{
        {minion, 1'000}, {{{0, 0, 0}, {kMaxId - 1, 0, 0}}, {}}, {}};
    entry.Step({MessageReceived{{90}, EntryHello{9, {}, {report}}}});
  }
  CHECK(IsCrashingJob(entry.board, 0));
  CHECK(IsCrashingJob(entry.board, kMaxId - 1));
  CHECK_FALSE(IsCrashingJob(entry.board, kMaxId));
}

}  // namespace
}  // namespace dottereltrack::pool
