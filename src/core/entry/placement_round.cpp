#include "core/entry/placement_round.h"

#include <algorithm>
#include <optional>

#include "core/entry/capacity.h"

namespace dottereltrack {
namespace {

// A task that does not decide when its job ends may run on a slow minion, if it
// is expected to end within this share of the time that the job takes anyway.
constexpr double kSlackShare = 0.8;
// Waiting pays if the task ends within this share of the time that it takes
// when it starts at once.
constexpr double kWaitShare = 0.8;
// Most tasks that wait for a fast minion.
constexpr std::uint32_t kMaxWaiting = 32;
// No task waits for a fast minion while more tasks are queued than this share
// of the slots, for then every slot is needed.
constexpr std::uint64_t kMaxQueuedShare = 2;
// Expected rest of a task that is over its time, as a share of the excess.
constexpr double kOverdueShare = 0.5;

BootTime Scaled(BootTime time, double factor) {
  return BootTime{
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

CandidateKey KeyOf(const ClassCursor& cursor, const Job& job) {
  return {cursor.work, job.body->kind};
}

const std::vector<Candidate>& OpenCandidates(const ClassCursor& cursor,
                                             const Job& job,
                                             PlacementRound* round) {
  const CandidateKey key = KeyOf(cursor, job);
  const auto it = round->open_candidates.find(key);
  if (it != round->open_candidates.end()) return it->second;
  auto found = CandidatesFor(*round->board, *cursor.work, key.second,
                             round->agents, round->now);
  return round->open_candidates.emplace(key, std::move(found)).first->second;
}

const std::vector<Candidate>& AllCandidates(const ClassCursor& cursor,
                                            const Job& job,
                                            PlacementRound* round) {
  const CandidateKey key = KeyOf(cursor, job);
  const auto it = round->all_candidates.find(key);
  if (it != round->all_candidates.end()) return it->second;
  auto found =
      CandidatesFor(*round->board, *cursor.work, key.second,
                    WorkingAgents(*round->board, round->now), round->now);
  return round->all_candidates.emplace(key, std::move(found)).first->second;
}

bool Fits(const PlacementRound& round, const Candidate& it,
          const Needs& needs) {
  const Usage usage = UsageIn(round, it.agent->id);
  return usage.slots < it.slots && HasRoomFor(it.agent->minion, usage, needs);
}

BootTime JobEnd(const PlacementRound& round, const SubmissionId& id) {
  BootTime end{0};
  const auto known = round.board->expected_end_by_job.find(id);
  if (known != round.board->expected_end_by_job.end()) end = known->second;
  const auto planned = round.planned_ends.find(id);
  if (planned != round.planned_ends.end()) end = std::max(end, planned->second);
  return end;
}

// When the slot after those that held tasks wait for is expected to be free.
std::optional<BootTime> NextRelease(const PlacementRound& round, AgentId id) {
  const auto ends = round.board->expected_ends_by_agent.find(id);
  if (ends == round.board->expected_ends_by_agent.end()) return std::nullopt;
  const auto claims = round.claims.find(id);
  std::uint32_t skip = claims == round.claims.end() ? 0 : claims->second;
  for (const auto& [end, task] : ends->second) {
    if (skip-- > 0) continue;
    const BootTime now = round.now.boot;
    return end >= now ? end : now + Scaled(now - end, kOverdueShare);
  }
  return std::nullopt;
}

// The slowest free minion on which the task still ends well within the time
// that its job takes anyway; fast ones stay free for others. One that gets a
// start in this round already is preferred, since it costs no more message.
const Candidate* SlowestInTime(const std::vector<Candidate>& open,
                               const TaskSpec& spec, BootTime time_left,
                               const PlacementRound& round) {
  const BootTime limit = Scaled(time_left, kSlackShare);
  const Candidate* slowest = nullptr;
  for (auto it = open.rbegin(); it != open.rend(); ++it) {
    if (ExpectedTime(*it, spec.declared_time) > limit) continue;
    if (!Fits(round, *it, spec.needs)) continue;
    if (round.planned_usage.count(it->agent->id) != 0) return &*it;
    if (slowest == nullptr) slowest = &*it;
  }
  return slowest;
}

// A busy minion on which the task ends earlier, although it must wait.
std::optional<Choice> WorthWaiting(const ClassCursor& cursor, const Job& job,
                                   const TaskSpec& spec, BootTime end_if_now,
                                   PlacementRound* round) {
  const EntryBoard& board = *round->board;
  if (round->held >= kMaxWaiting) return std::nullopt;
  if (board.queued_tasks * kMaxQueuedShare > board.fenced_slots) {
    return std::nullopt;
  }
  const BootTime now = round->now.boot;
  BootTime best_end = now + Scaled(end_if_now - now, kWaitShare);
  const AgentRow* best = nullptr;
  for (const Candidate& it : AllCandidates(cursor, job, round)) {
    // Candidates are in order, so no later one can be better.
    if (now + ExpectedTime(it, spec.declared_time) >= best_end) break;
    const auto release = NextRelease(*round, it.agent->id);
    if (!release) continue;
    const BootTime end = *release + ExpectedTime(it, spec.declared_time);
    if (end >= best_end) continue;
    best_end = end;
    best = it.agent;
  }
  if (best == nullptr) return std::nullopt;
  ++round->claims[best->id];
  return Choice{Choice::Kind::kHold, best, best_end};
}

// Whether the task would miss its deadline here, but not on the fastest minion.
bool BetterNotHere(const ClassCursor& cursor, const Job& job,
                   const TaskSpec& spec, BootTime end, PlacementRound* round) {
  if (end <= job.deadline_at) return false;
  const Candidate& fastest = AllCandidates(cursor, job, round).front();
  return round->now.boot + ExpectedTime(fastest, spec.declared_time) <=
         job.deadline_at;
}

}  // namespace

PlacementRound BeginRound(const EntryBoard& board, const Now& now) {
  PlacementRound round;
  round.board = &board;
  round.now = now;
  round.agents = OpenAgents(board, now);
  for (const OpenAgent& open : round.agents) {
    round.free_slots += open.slots - UsageIn(round, open.agent->id).slots;
  }
  return round;
}

Usage UsageIn(const PlacementRound& round, AgentId id) {
  const auto planned = round.planned_usage.find(id);
  if (planned != round.planned_usage.end()) return planned->second;
  const auto used = round.board->usage_by_agent.find(id);
  return used == round.board->usage_by_agent.end() ? Usage{} : used->second;
}

Choice ChooseFor(const ClassCursor& cursor, PlacementRound* round) {
  const Job& job = *round->board->jobs.Find(cursor.job->id);
  const TaskSpec& spec = job.body->tasks[cursor.task->index];
  const auto& open = OpenCandidates(cursor, job, round);
  const auto first = std::find_if(
      open.begin(), open.end(),
      [&](const Candidate& it) { return Fits(*round, it, spec.needs); });
  if (first == open.end()) return {};
  const BootTime now = round->now.boot;
  const BootTime end = now + ExpectedTime(*first, spec.declared_time);
  const BootTime job_end = JobEnd(*round, job.id);
  if (job_end > end) {
    const BootTime time_left = std::min(job_end, job.deadline_at) - now;
    const auto* slow = SlowestInTime(open, spec, time_left, *round);
    const Candidate& chosen = slow != nullptr ? *slow : *first;
    return {Choice::Kind::kStart, chosen.agent,
            now + ExpectedTime(chosen, spec.declared_time)};
  }
  if (auto wait = WorthWaiting(cursor, job, spec, end, round)) return *wait;
  if (BetterNotHere(cursor, job, spec, end, round)) {
    return {Choice::Kind::kHold, nullptr, end};
  }
  return {Choice::Kind::kStart, first->agent, end};
}

}  // namespace dottereltrack
