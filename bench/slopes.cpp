// Prints CPU time and memory of the decision code by number of agents, tasks
// and jobs.
//
// Usage: slopes

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <type_traits>
#include <vector>

#include "core/agent/changes.h"
#include "core/entry/advance.h"
#include "core/entry/changes.h"
#include "core/entry/placement.h"

namespace dottereltrack::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kSlots = 8;
// Number of results that the dispatcher receives per read of its connections.
constexpr std::uint32_t kResultsPerRead = 64;

Now NowAt(std::int64_t us) {
  return {BootTime{us}, WallTime{1'800'000'000'000}, 1};
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

AgentRow MakeAgent(std::uint64_t n) {
  AgentRow agent;
  agent.id = AgentId{n + 1};
  agent.link = LinkId{n + 1};
  agent.phase = AgentPhase::kFenced;
  agent.fence = Fence{1, n + 1};
  agent.acked_sent_at = BootTime{1'000'000};
  agent.minion.name = "minion-" + std::to_string(n);
  agent.minion.instance = 1;
  agent.minion.slots = kSlots;
  agent.minion.connections = 64;
  agent.minion.labels = {{"site", "north"}};
  agent.minion.rack = "rack-" + std::to_string(n / 3);
  return agent;
}

// Returns the board of a dispatcher with authority over `agents` agents.
EntryBoard MakeBoard(std::uint32_t agents) {
  EntryBoard board;
  EntryChanges changes;
  Authority authority;
  authority.role = Role::kDispatcher;
  authority.generation = 1;
  authority.inventory_settled = true;
  changes.Add(SetAuthority{authority});
  StoredTable table;
  table.revision = 1;
  table.table.generation = 1;
  for (std::uint32_t n = 0; n < agents; ++n) {
    const AgentRow agent = MakeAgent(n);
    table.table.roster.push_back(
        {agent.id, agent.minion.name, "dc-0", agent.minion.rack});
    changes.Add(Put<AgentRow>{agent});
  }
  changes.Add(SetTable{table});
  Apply(&board, changes);
  return board;
}

SubmissionId MakeId(std::uint64_t n) {
  return MakeSubmissionId("north", std::to_string(n));
}

void AddJob(const std::string& team, std::uint64_t n, std::uint32_t tasks,
            EntryBoard* board) {
  SubmitRequest request;
  request.team = team;
  request.key = std::to_string(n);
  request.kind = "render";
  request.tasks.resize(tasks);
  Job job;
  job.id = MakeId(n);
  job.team = team;
  job.task_count = tasks;
  job.arrival_seq = n;
  job.accepted_at = BootTime{1'000'000};
  job.deadline_at = BootTime{600'000'000};
  job.body = request;
  EntryChanges changes;
  changes.Add(Put<Job>{job});
  for (std::uint32_t i = 0; i < tasks; ++i) {
    Task task;
    task.id = {job.id, i};
    changes.Add(Put<Task>{task});
  }
  Apply(board, changes);
}

// Running tasks, by the agent that runs them.
struct RunningTasks {
  std::vector<std::vector<TaskId>> by_agent;
};

void RecordStarts(const std::vector<EntryEffect>& effects,
                  RunningTasks* running) {
  for (const EntryEffect& effect : effects) {
    const auto* send = std::get_if<SendToAgent>(&effect);
    if (send == nullptr) continue;
    const auto* starts = std::get_if<Starts>(&send->message);
    if (starts == nullptr) continue;
    for (const TaskStart& it : starts->tasks) {
      running->by_agent[send->link.value - 1].push_back(it.id);
    }
  }
}

std::vector<EntryEvent> NextResults(std::uint32_t* next_agent,
                                    RunningTasks* running) {
  std::vector<EntryEvent> events;
  for (std::uint32_t n = 0; n < kResultsPerRead; ++n) {
    const std::uint32_t agent = (*next_agent)++ % running->by_agent.size();
    auto& tasks = running->by_agent[agent];
    if (tasks.empty()) continue;
    Results results;
    results.ack = {Fence{1, agent + 1ULL}, 1'000'000};
    results.results.push_back({tasks.front(), LedgerState::kDone,
                               std::string("x"), microseconds{200'000}});
    tasks.erase(tasks.begin());
    events.emplace_back(AgentMessageReceived{LinkId{agent + 1ULL}, results});
  }
  return events;
}

// Measures the time that Advance takes per task, from the result of a task to
// the start of the next one, while the queue stays long.
void PrintStartRate(std::uint32_t agents, std::uint32_t queued) {
  constexpr std::uint32_t kRounds = 200;
  EntryBoard board = MakeBoard(agents);
  const std::uint32_t total =
      queued + agents * kSlots + kRounds * kResultsPerRead;
  for (std::uint32_t n = 0; n < total / 4; ++n) AddJob("north", n, 4, &board);
  RunningTasks running;
  running.by_agent.resize(agents);
  RecordStarts(Advance(&board, {Tick{}}, NowAt(1'200'000)), &running);
  std::uint32_t next_agent = 0;
  std::uint64_t starts = 0;
  const auto before = board.counters;
  const auto begin = Clock::now();
  for (std::uint32_t n = 0; n < kRounds; ++n) {
    const auto events = NextResults(&next_agent, &running);
    const auto effects = Advance(&board, events, NowAt(1'300'000 + n * 10));
    RecordStarts(effects, &running);
  }
  const std::chrono::duration<double> elapsed = Clock::now() - begin;
  const auto index = static_cast<std::size_t>(Counter::kStartsSent);
  starts = board.counters[index] - before[index];
  std::printf("| %u | %u | %.2f | %.0f |\n", agents, queued,
              1e6 * elapsed.count() / static_cast<double>(starts),
              static_cast<double>(starts) / elapsed.count());
}

void PrintStartRates() {
  std::printf(
      "| minions | queued tasks | us a task | starts/s |\n"
      "| --- | --- | --- | --- |\n");
  for (const std::uint32_t agents : {10, 100, 600}) {
    for (const std::uint32_t queued : {1'000, 10'000, 100'000}) {
      PrintStartRate(agents, queued);
    }
  }
}

// Prints the mean heap use of each of `count` items that `add` adds to a board.
template <typename Board = EntryBoard, typename Add>
void PrintBytes(const char* name, std::uint32_t count, Add add) {
  Board board;
  if constexpr (std::is_same_v<Board, EntryBoard>) board = MakeBoard(10);
  const std::size_t before = HeapBytes();
  for (std::uint32_t n = 0; n < count; ++n) add(n, &board);
  const std::size_t after = HeapBytes();
  std::printf("| %s | %u | %.0f |\n", name, count,
              static_cast<double>(after - before) / count);
}

void PrintMemory() {
  std::printf("\n| board row | count | bytes each |\n| --- | --- | --- |\n");
  for (const std::uint32_t count : {100, 1'000, 10'000}) {
    PrintBytes("job of 1 task", count, [](std::uint32_t n, EntryBoard* board) {
      AddJob("north", n, 1, board);
    });
  }
  for (const std::uint32_t count : {10, 100, 1'000}) {
    PrintBytes("100 tasks of one job", count,
               [](std::uint32_t n, EntryBoard* board) {
                 AddJob("north", n, 100, board);
               });
  }
  for (const std::uint32_t count : {10, 100, 600}) {
    PrintBytes("agent", count, [](std::uint32_t n, EntryBoard* board) {
      EntryChanges changes;
      changes.Add(Put<AgentRow>{MakeAgent(n + 10)});
      Apply(board, changes);
    });
  }
  for (const std::uint32_t count : {100, 1'000, 10'000}) {
    PrintBytes<AgentBoard>(
        "ledger row of an agent, 32 bytes of output", count,
        [](std::uint32_t n, AgentBoard* board) {
          LedgerRow row;
          row.entry.id = {MakeSubmissionId("north", "job"), n};
          row.entry.state = LedgerState::kDone;
          row.entry.output = std::string(32, 'r');
          row.finished_at = BootTime{n};
          AgentChanges changes;
          changes.Add(Put<LedgerRow>{row});
          Apply(board, changes);
        });
  }
  for (const std::uint32_t count : {10, 100, 370}) {
    PrintBytes("team with one job of 1 task", count,
               [](std::uint32_t n, EntryBoard* board) {
                 AddJob("team-" + std::to_string(n), n, 1, board);
               });
  }
}

}  // namespace
}  // namespace dottereltrack::bench

int main() {
  dottereltrack::bench::PrintStartRates();
  dottereltrack::bench::PrintMemory();
  return 0;
}
