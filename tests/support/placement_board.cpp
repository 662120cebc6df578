#include "support/placement_board.h"

namespace dottereltrack::testing {

Now NowAt(BootTime boot) { return {boot, WallTime{1'800'000'000'000}, 1}; }

SubmissionId IdOfJob(std::uint64_t number) {
  return MakeSubmissionId("any", std::to_string(number));
}

EntryBoard BoardWith(const std::vector<TestMinion>& minions) {
  EntryChanges changes;
  Authority authority;
  authority.role = Role::kDispatcher;
  authority.generation = 1;
  authority.inventory_settled = true;
  changes.Add(SetAuthority{authority});
  StoredTable table;
  table.revision = 1;
  table.table.generation = 1;
  for (const TestMinion& it : minions) {
    AgentRow agent;
    agent.id = AgentId{table.table.roster.size() + 1};
    agent.link = LinkId{agent.id.value};
    agent.phase = AgentPhase::kFenced;
    agent.fence = Fence{1, agent.id.value};
    agent.acked_sent_at = seconds{10};
    agent.minion.name = it.name;
    agent.minion.slots = it.slots;
    agent.minion.connections = it.connections;
    agent.minion.memory_bytes = it.memory_bytes;
    agent.minion.accelerators = it.accelerators;
    table.table.roster.push_back({agent.id, it.name, "", ""});
    changes.Add(Put<AgentRow>{agent});
  }
  changes.Add(SetTable{table});
  EntryBoard board;
  Apply(&board, changes);
  return board;
}

const AgentRow& AgentOfMinion(const EntryBoard& board,
                              const std::string& minion) {
  const AgentRow* found = nullptr;
  for (const auto& [id, agent] : board.agents) {
    if (agent.minion.name == minion) found = &agent;
  }
  return *found;
}

SubmitRequest RequestOf(const TestJob& job) {
  SubmitRequest request;
  request.team = job.team;
  request.key = std::to_string(job.number);
  request.kind = job.kind;
  request.deadline = job.deadline;
  for (const int ms : job.declared_ms) {
    TaskSpec spec;
    spec.declared_time = milliseconds{ms};
    spec.needs = job.needs;
    request.tasks.push_back(spec);
  }
  return request;
}

void Enqueue(EntryBoard* board, const TestJob& row) {
  Job job;
  job.id = IdOfJob(row.number);
  job.team = row.team;
  job.task_count = static_cast<std::uint32_t>(row.declared_ms.size());
  job.arrival_seq = row.number;
  job.accepted_at = row.accepted_at;
  job.deadline_at = row.accepted_at + row.deadline;
  job.body = RequestOf(row);
  EntryChanges changes;
  changes.Add(Put<Job>{job});
  for (std::uint32_t n = 0; n < job.task_count; ++n) {
    Task task;
    task.id = {job.id, n};
    changes.Add(Put<Task>{task});
  }
  Apply(board, changes);
}

void StartFirstTask(EntryBoard* board, std::uint64_t job,
                    const std::string& minion, BootTime expected_end) {
  Task task = *board->tasks.Find({IdOfJob(job), 0});
  task.state = TaskState::kSent;
  task.agent = AgentOfMinion(*board, minion).id;
  task.holder = task.agent;
  task.expected_end = expected_end;
  EntryChanges changes;
  changes.Add(Put<Task>{task});
  Apply(board, changes);
}

void SetTimeRatio(EntryBoard* board, const std::string& minion, double ratio) {
  MinionSpeed speed;
  speed.minion = minion;
  speed.kind = "render";
  speed.time_ratio = ratio;
  // Large enough to outweigh all other estimates.
  speed.weight_seconds = 1e6;
  speed.updated_at = seconds{10};
  EntryChanges changes;
  changes.Add(Put<MinionSpeed>{speed});
  Apply(board, changes);
}

}  // namespace dottereltrack::testing
