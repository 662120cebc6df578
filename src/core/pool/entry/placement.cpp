#include "core/pool/entry/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "core/pool/entry/accepted_memory.h"
#include "core/pool/entry/backlog.h"
#include "core/pool/entry/evacuation.h"
#include "core/pool/entry/locality.h"
#include "core/pool/entry/minion_choice.h"
#include "core/pool/entry/unstarted_tasks.h"
#include "core/pool/entry/waiting_tasks.h"

namespace dottereltrack::pool {
namespace {

// A minion counts as fast enough if it would be even with a slowness that is
// higher by this factor: the tasks of a job differ by 15%, and the learned
// slowness is a mean of few runs.
constexpr double kSlownessMargin = 1.1;
// The margin does not apply to a minion that is slower than the fastest by less
// than this factor, since the learned slowness of equal minions differs by up
// to 30% where 3% of the jobs take 7 times their estimate.
constexpr double kSimilarSlowness = 1.4;
// Costs that differ by less than this factor count as equal. The learned
// slowness of equal minions differs by some percent; without this, one of them
// would get all tasks at low load, and the others none.
constexpr double kSimilarCost = 1.1;
constexpr double kUnlimited = std::numeric_limits<double>::infinity();
// An agent pings idle links every 100 ms, so that an agent that has been silent
// for this long has missed a ping: it may have been lost.
constexpr milliseconds kMaxSilence{175};
// Time until a task whose start was lost can start elsewhere, if the minion
// accepts no stop: the lease of 310 ms in the start expires.
constexpr milliseconds kLostStartTime{350};

// An agent and the starts that this placement has assigned to it.
struct Candidate {
  const AgentRow* agent = nullptr;
  MinionOption minion;
  // Cost of the task that is being placed.
  double cost = 0;
  std::vector<UnreportedStart> starts;
  // Of the starts that are not covered by load reports, these included.
  std::size_t unreported_bytes = 0;
  // Tasks of the starts.
  std::vector<TaskKey> tasks;
};

bool HasSuspect(const AgentRow& agent) {
  const auto& starts = agent.unreported_starts;
  return agent.load.has_suspect ||
         std::any_of(starts.begin(), starts.end(),
                     [](const auto& it) { return it.is_suspect; });
}

bool IsSilent(const EntryBoard& board, const AgentRow& agent, const Now& now) {
  const LinkRow* link = board.links.Find(agent.link);
  return link != nullptr && now.boot - link->last_received_at > kMaxSilence;
}

double UsedShare(const AgentRow& agent, const Resources& free) {
  const auto total = static_cast<double>(agent.hello->capacity.cpu_millis);
  if (total <= 0) return 1;
  return 1 - static_cast<double>(free.cpu_millis) / total;
}

std::vector<Candidate> CollectCandidates(const EntryBoard& board,
                                         const Now& now) {
  std::vector<Candidate> candidates;
  for (const auto& [link, agent] : board.agents) {
    if (!IsUsable(board, agent)) continue;
    MinionOption minion;
    minion.free = agent.free;
    minion.used_share = UsedShare(agent, agent.free);
    minion.slowness = std::exp(agent.load.log_slowness);
    minion.has_suspect = HasSuspect(agent);
    minion.misses_starts = agent.load.misses_starts;
    minion.is_silent = IsSilent(board, agent, now);
    candidates.push_back({&agent, minion, 0, {}, UnreportedBytes(agent), {}});
  }
  return candidates;
}

// Smallest slowness among the minions of a service that accept runs, with or
// without free resources: of all, and of those whose agents are not silent.
struct LowestSlowness {
  double of_all = kUnlimited;
  double of_reliable = kUnlimited;
};

LowestSlowness FindLowestSlowness(const std::vector<Candidate>& candidates,
                                  const std::string& service) {
  LowestSlowness lowest;
  for (const Candidate& it : candidates) {
    if (it.agent->hello->service != service) continue;
    lowest.of_all = std::min(lowest.of_all, it.minion.slowness);
    if (it.minion.is_silent) continue;
    lowest.of_reliable = std::min(lowest.of_reliable, it.minion.slowness);
  }
  return lowest;
}

// Sets the slowness up to which a minion can meet the task's goal. A task that
// some minion can finish in time does not start on one that cannot: it would
// be late for certain, while its place on a faster minion may become free.
StartDemand MakeDemand(const WaitingTasks& it, const TaskRow& first,
                       const LowestSlowness& lowest, const Now& now) {
  StartDemand demand{first.needs, it.urgency.is_suspect, kUnlimited,
                     kUnlimited};
  if (it.urgency.is_late || it.urgency.is_suspect ||
      first.estimate.count() <= 0) {
    return demand;
  }
  // The fast minions may be those on which the task has failed, or may be away
  // from its data or without the required label.
  if (!first.failed_minions.empty() || first.rules != PlacementRules{}) {
    return demand;
  }
  using Microseconds = std::chrono::duration<double, std::micro>;
  const double estimate_us = Microseconds{first.estimate}.count();
  const BootTime remaining = it.job->goal_at - now.boot;
  const double max_slowness = Microseconds{remaining}.count() / estimate_us;
  if (lowest.of_all <= max_slowness) {
    demand.max_slowness =
        std::min(max_slowness, std::max(kSimilarSlowness * lowest.of_all,
                                        max_slowness / kSlownessMargin));
  }
  if (lowest.of_reliable <= max_slowness) {
    demand.max_slowness_after_loss =
        Microseconds{remaining - kLostStartTime}.count() / estimate_us;
  } else {
    demand.max_slowness_after_loss = demand.max_slowness;
  }
  return demand;
}

bool HasFailedOn(const TaskRow& task, const std::string& minion) {
  const auto& failed = task.failed_minions;
  return std::find(failed.begin(), failed.end(), minion) != failed.end();
}

// Number of starts of the task's step that this placement has assigned.
std::uint32_t CountStartsOfStep(const Candidate& candidate,
                                const TaskRow& task) {
  return static_cast<std::uint32_t>(std::count_if(
      candidate.tasks.begin(), candidate.tasks.end(), [&](const TaskKey& it) {
        return it.job == task.key.job && it.step == task.key.step;
      }));
}

// Sets what the task's placement rules say of the candidates.
void ApplyRules(const EntryBoard& board, const TaskRow& task,
                const std::string& near_rack,
                std::vector<Candidate>* candidates) {
  for (Candidate& it : *candidates) {
    const TaskView view = ViewOf(board, task, *it.agent->hello, near_rack,
                                 CountStartsOfStep(it, task));
    it.minion.is_forbidden = !view.is_allowed;
    it.minion.remote_factor = view.is_near ? 1 : board.settings.remote_factor;
  }
}

void ClearRules(std::vector<Candidate>* candidates) {
  for (Candidate& it : *candidates) {
    it.minion.is_forbidden = false;
    it.minion.remote_factor = 1;
  }
}

// Whether the task waits for a near minion instead of this remote one.
bool WaitsForNear(const EntryBoard& board, const WaitingTasks& it,
                  const TaskRow& first, const std::string& near_rack,
                  const Candidate& remote, double work_ahead, const Now& now) {
  if (remote.minion.remote_factor <= 1) return false;
  RemoteStart start;
  start.run_time = first.estimate;
  start.remote_factor = remote.minion.remote_factor;
  start.near_delay =
      EstimateNearDelay(board, first, it.job->service, near_rack, work_ahead);
  start.waited =
      std::chrono::duration_cast<milliseconds>(now.boot - it.job->arrived_at);
  start.time_left =
      std::chrono::duration_cast<milliseconds>(it.job->goal_at - now.boot);
  return ShouldWaitForNear(start);
}

// Returns the emptiest of the candidates whose cost is near the lowest.
Candidate* ChooseCandidate(std::vector<Candidate>* candidates,
                           const JobRow& job, const TaskRow& task,
                           const StartDemand& demand,
                           std::size_t start_window) {
  const std::size_t bytes = StartBytes(job, task);
  double lowest_cost = kUnlimited;
  for (Candidate& it : *candidates) {
    it.cost = kUnlimited;
    const AgentHello& hello = *it.agent->hello;
    if (it.minion.free.cpu_millis <= 0) continue;
    if (hello.service != job.service) continue;
    if (it.unreported_bytes > 0 && it.unreported_bytes + bytes > start_window) {
      continue;
    }
    it.minion.has_failed_task = HasFailedOn(task, hello.minion);
    it.cost = CostOfStart(demand, it.minion);
    lowest_cost = std::min(lowest_cost, it.cost);
  }
  if (lowest_cost == kUnlimited) return nullptr;
  Candidate* best = nullptr;
  for (Candidate& it : *candidates) {
    if (it.cost > lowest_cost * kSimilarCost) continue;
    if (best == nullptr ||
        it.minion.free.cpu_millis > best->minion.free.cpu_millis) {
      best = &it;
    }
  }
  return best;
}

// Starts a task, whose row as a waiting one is given.
void PlaceTask(const WaitingTasks& waiting, TaskRow task, Candidate* candidate,
               const Now& now, EntryChanges* changes) {
  const AgentRow& agent = *candidate->agent;
  task.state = TaskState::kPlaced;
  // The wall clock makes the number higher than those that other entries have
  // given to earlier runs of the same task.
  task.run_number =
      std::max<std::uint64_t>(task.run_number + 1, now.wall.count());
  task.link = agent.link;
  task.minion = agent.hello->minion;
  task.placed_at = now.boot;
  MinionOption& minion = candidate->minion;
  minion.free -= task.needs;
  minion.used_share = UsedShare(agent, minion.free);
  minion.has_suspect = minion.has_suspect || waiting.urgency.is_suspect;
  const std::uint64_t sequence =
      agent.starts_sent + candidate->starts.size() + 1;
  const std::size_t bytes = StartBytes(*waiting.job, task);
  candidate->starts.push_back(
      {sequence, task.needs, waiting.urgency.is_suspect, bytes});
  candidate->unreported_bytes += bytes;
  changes->Add(SendMessage{agent.link, StartRun{sequence,
                                                {task.key, task.run_number},
                                                waiting.job->payload,
                                                task.needs,
                                                task.estimate,
                                                waiting.urgency.is_suspect,
                                                task.rules.required_label}});
  candidate->tasks.push_back(task.key);
  changes->Add(Put<TaskRow>{task});
}

// Returns the most free processors of a candidate, in thousandths of a core.
std::int64_t LargestRoom(const std::vector<Candidate>& candidates) {
  std::int64_t largest = std::numeric_limits<std::int64_t>::min();
  for (const Candidate& it : candidates) {
    largest = std::max(largest, it.minion.free.cpu_millis);
  }
  return largest;
}

// Returns the agent's row after the starts of this placement.
AgentRow MakeUpdatedRow(const Candidate& candidate) {
  AgentRow row = *candidate.agent;
  row.free = candidate.minion.free;
  row.starts_sent += candidate.starts.size();
  row.unreported_starts.insert(row.unreported_starts.end(),
                               candidate.starts.begin(),
                               candidate.starts.end());
  return row;
}

}  // namespace

EntryChanges PlaceTasks(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (!HasWaitingTasks(board)) return changes;
  std::vector<Candidate> candidates = CollectCandidates(board, now);
  const std::int64_t smallest_cpu = *board.waiting_cpu_millis.begin();
  std::int64_t largest_room = LargestRoom(candidates);
  // Ordering hundreds of waiting tasks after each load report would take most
  // of a small machine's processor while the minions are full.
  if (largest_room < smallest_cpu) return changes;
  const auto waiting = CollectWaitingTasks(board, now);
  std::map<std::uint64_t, const JobRow*> started_jobs;
  std::map<std::string, LowestSlowness> lowest_slowness;
  // Work of the tasks that wait for a rack.
  std::map<std::string, double> rack_work;
  const std::size_t start_window = StartWindow(board);
  std::size_t total_placed = 0;
  for (const WaitingTasks& it : waiting) {
    if (largest_room < smallest_cpu) break;
    if (it.Needs().cpu_millis > largest_room) continue;
    TaskRow task = FirstRowOf(it);
    const std::string& service = it.job->service;
    if (!lowest_slowness.contains(service)) {
      lowest_slowness[service] = FindLowestSlowness(candidates, service);
    }
    const StartDemand demand =
        MakeDemand(it, task, lowest_slowness[service], now);
    const bool has_rules = task.rules != PlacementRules{};
    std::string near_rack;
    if (has_rules) near_rack = NearRackOf(board, task);
    std::uint32_t placed = 0;
    for (std::uint32_t n = 0; n < it.Count(); ++n) {
      if (task.needs.cpu_millis > largest_room) break;
      if (!HasMemoryForRows(board, total_placed + 1)) break;
      if (has_rules) ApplyRules(board, task, near_rack, &candidates);
      Candidate* candidate =
          ChooseCandidate(&candidates, *it.job, task, demand, start_window);
      const bool waits = candidate != nullptr && has_rules &&
                         WaitsForNear(board, it, task, near_rack, *candidate,
                                      rack_work[near_rack], now);
      if (waits) rack_work[near_rack] += WorkOf(task);
      if (has_rules) ClearRules(&candidates);
      // The further tasks are equal to this one.
      if (candidate == nullptr) break;
      if (waits) continue;
      PlaceTask(it, task, candidate, now, &changes);
      ++task.key.index;
      ++placed;
      ++total_placed;
      largest_room = LargestRoom(candidates);
    }
    if (placed == 0) continue;
    if (it.unstarted != nullptr) {
      RemoveFirst(*it.unstarted, placed, &changes);
    }
    if (!it.job->may_have_started) started_jobs.emplace(it.job->id, it.job);
  }
  for (const auto& [id, job] : started_jobs) {
    JobRow row = *job;
    row.may_have_started = true;
    changes.Add(Put<JobRow>{row});
  }
  for (const Candidate& it : candidates) {
    if (!it.starts.empty()) changes.Add(Put<AgentRow>{MakeUpdatedRow(it)});
  }
  return changes;
}

}  // namespace dottereltrack::pool
