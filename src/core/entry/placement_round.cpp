#include "core/entry/placement_round.h"

#include <algorithm>
#include <optional>

#include "core/entry/capacity.h"

namespace dottereltrack {
namespace {

// A task that is not the last of its job to end may run on a slow minion if it
// is expected to end within this share of the time until the job's expected
// end, or until its deadline if that is earlier.
constexpr double kMaxTimeShareOnSlowMinion = 0.8;
// Waiting for a busy minion is worthwhile if the task then ends within this
// share of the time it would take if started now.
constexpr double kMaxDurationShareWithWait = 0.8;
// Once this many tasks are deferred in a round, no more wait for a fast minion.
constexpr std::uint32_t kMaxDeferredForFastMinion = 32;
// Tasks wait for a fast minion only while there are at least this many slots
// per queued task; beyond that every slot is needed.
constexpr std::uint64_t kMinSlotsPerQueuedTask = 2;
// Expected remaining time of a task that has passed its expected end, as a
// share of the time by which it has passed it.
constexpr double kOverdueRemainingShare = 0.5;

BootTime Scaled(BootTime time, double factor) {
  return BootTime{
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

CandidateKey KeyOf(const ClassCursor& cursor, const Job& job) {
  return {cursor.work_class, job.body->kind};
}

const std::vector<Candidate>& FreeCandidates(const ClassCursor& cursor,
                                             const Job& job,
                                             PlacementRound* round) {
  const CandidateKey key = KeyOf(cursor, job);
  const auto it = round->free_candidates.find(key);
  if (it != round->free_candidates.end()) return it->second;
  auto found = FindCandidates(*round->board, *cursor.work_class, key.second,
                              round->agents_with_free_slot, round->now);
  return round->free_candidates.emplace(key, std::move(found)).first->second;
}

const std::vector<Candidate>& AllCandidates(const ClassCursor& cursor,
                                            const Job& job,
                                            PlacementRound* round) {
  const CandidateKey key = KeyOf(cursor, job);
  const auto it = round->all_candidates.find(key);
  if (it != round->all_candidates.end()) return it->second;
  auto found =
      FindCandidates(*round->board, *cursor.work_class, key.second,
                     EligibleAgents(*round->board, round->now), round->now);
  return round->all_candidates.emplace(key, std::move(found)).first->second;
}

bool HasRoomInRound(const PlacementRound& round, const Candidate& it,
                    const Needs& needs) {
  const ResourceUsage usage = UsageInRound(round, it.agent->id);
  return usage.slots < it.allowed_slots &&
         HasRoomFor(it.agent->minion, usage, needs);
}

BootTime ExpectedJobEnd(const PlacementRound& round, const SubmissionId& id) {
  BootTime end{0};
  const auto known = round.board->expected_end_by_job.find(id);
  if (known != round.board->expected_end_by_job.end()) end = known->second;
  const auto planned = round.planned_ends.find(id);
  if (planned != round.planned_ends.end()) end = std::max(end, planned->second);
  return end;
}

// Returns when the agent's next slot is expected to become free, not counting
// the slots that deferred tasks already wait for.
std::optional<BootTime> NextSlotRelease(const PlacementRound& round,
                                        AgentId id) {
  const auto ends = round.board->expected_ends_by_agent.find(id);
  if (ends == round.board->expected_ends_by_agent.end()) return std::nullopt;
  const auto awaited_slots = round.awaited_slots.find(id);
  std::uint32_t skip =
      awaited_slots == round.awaited_slots.end() ? 0 : awaited_slots->second;
  for (const auto& [end, task] : ends->second) {
    if (skip-- > 0) continue;
    const BootTime now = round.now.boot;
    return end >= now ? end : now + Scaled(now - end, kOverdueRemainingShare);
  }
  return std::nullopt;
}

// Returns the slowest free minion on which the task ends well before its job
// does, so that fast minions stay free for other tasks. An agent that already
// gets a start in this round is preferred, because it needs no additional
// message.
const Candidate* SlowestWithinSlack(const std::vector<Candidate>& candidates,
                                    const TaskSpec& spec, BootTime time_left,
                                    const PlacementRound& round) {
  const BootTime limit = Scaled(time_left, kMaxTimeShareOnSlowMinion);
  const Candidate* slowest = nullptr;
  for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
    if (ExpectedDuration(*it, spec.declared_time) > limit) continue;
    if (!HasRoomInRound(round, *it, spec.needs)) continue;
    if (round.planned_usage.count(it->agent->id) != 0) return &*it;
    if (slowest == nullptr) slowest = &*it;
  }
  return slowest;
}

// Looks for a busy minion on which the task would end earlier even though it
// must wait for a slot.
std::optional<PlacementDecision> DeferIfBetter(const ClassCursor& cursor,
                                               const Job& job,
                                               const TaskSpec& spec,
                                               BootTime end_if_now,
                                               PlacementRound* round) {
  const EntryBoard& board = *round->board;
  if (round->deferred_tasks >= kMaxDeferredForFastMinion) return std::nullopt;
  if (board.queued_tasks * kMinSlotsPerQueuedTask > board.fenced_slots) {
    return std::nullopt;
  }
  const BootTime now = round->now.boot;
  BootTime best_end = now + Scaled(end_if_now - now, kMaxDurationShareWithWait);
  const AgentRow* best = nullptr;
  for (const Candidate& it : AllCandidates(cursor, job, round)) {
    // Candidates are sorted by expected time, so no later one can be better.
    if (now + ExpectedDuration(it, spec.declared_time) >= best_end) break;
    const auto release = NextSlotRelease(*round, it.agent->id);
    if (!release) continue;
    const BootTime end = *release + ExpectedDuration(it, spec.declared_time);
    if (end >= best_end) continue;
    best_end = end;
    best = it.agent;
  }
  if (best == nullptr) return std::nullopt;
  ++round->awaited_slots[best->id];
  return PlacementDecision{PlacementDecision::Kind::kDefer, best, best_end};
}

// Whether the task would miss its deadline if it ended at `end`, but could meet
// it on the fastest minion.
bool MeetsDeadlineOnlyElsewhere(const ClassCursor& cursor, const Job& job,
                                const TaskSpec& spec, BootTime end,
                                PlacementRound* round) {
  if (end <= job.deadline_at) return false;
  const Candidate& fastest = AllCandidates(cursor, job, round).front();
  return round->now.boot + ExpectedDuration(fastest, spec.declared_time) <=
         job.deadline_at;
}

}  // namespace

PlacementRound BeginPlacementRound(const EntryBoard& board, const Now& now) {
  PlacementRound round;
  round.board = &board;
  round.now = now;
  round.agents_with_free_slot = AgentsWithFreeSlot(board, now);
  for (const EligibleAgent& eligible : round.agents_with_free_slot) {
    round.free_slots +=
        eligible.allowed_slots - UsageInRound(round, eligible.agent->id).slots;
  }
  return round;
}

ResourceUsage UsageInRound(const PlacementRound& round, AgentId id) {
  const auto planned = round.planned_usage.find(id);
  if (planned != round.planned_usage.end()) return planned->second;
  const auto used = round.board->usage_by_agent.find(id);
  return used == round.board->usage_by_agent.end() ? ResourceUsage{}
                                                   : used->second;
}

PlacementDecision DecidePlacement(const ClassCursor& cursor,
                                  PlacementRound* round) {
  const Job& job = *round->board->jobs.Find(cursor.job->id);
  const TaskSpec& spec = job.body->tasks[cursor.task->index];
  const auto& candidates = FreeCandidates(cursor, job, round);
  const auto first = std::find_if(
      candidates.begin(), candidates.end(), [&](const Candidate& it) {
        return HasRoomInRound(*round, it, spec.needs);
      });
  if (first == candidates.end()) return {};
  const BootTime now = round->now.boot;
  const BootTime end = now + ExpectedDuration(*first, spec.declared_time);
  const BootTime job_end = ExpectedJobEnd(*round, job.id);
  if (job_end > end) {
    const BootTime time_left = std::min(job_end, job.deadline_at) - now;
    const auto* slow = SlowestWithinSlack(candidates, spec, time_left, *round);
    const Candidate& chosen = slow != nullptr ? *slow : *first;
    return {PlacementDecision::Kind::kStart, chosen.agent,
            now + ExpectedDuration(chosen, spec.declared_time)};
  }
  if (auto wait = DeferIfBetter(cursor, job, spec, end, round)) return *wait;
  if (MeetsDeadlineOnlyElsewhere(cursor, job, spec, end, round)) {
    return {PlacementDecision::Kind::kDefer, nullptr, end};
  }
  return {PlacementDecision::Kind::kStart, first->agent, end};
}

}  // namespace dottereltrack
