#include "core/pool/entry/forwarding.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/pool/entry/entry_load.h"
#include "core/pool/entry/outcomes.h"
#include "core/pool/entry/submission.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

// A peer whose link has been silent for longer than two pings may be down; a
// job forwarded to it would be lost.
constexpr int kMaxSilentPings = 2;

// Weight of a job in the mean size: of the last hundred or so.
constexpr double kJobSizeWeight = 0.02;

struct Offer {
  const OfferRow* row = nullptr;
  bool is_near = false;
  std::uint64_t remaining = 0;
  std::uint64_t used = 0;
};

std::vector<Offer> CollectOffers(const EntryBoard& board, const Now& now) {
  std::vector<Offer> offers;
  const auto max_silence = kMaxSilentPings * board.settings.ping_interval;
  for (const auto& [id, row] : board.offers) {
    const LinkRow* link = board.links.Find(id);
    if (link == nullptr || row.Remaining() == 0) continue;
    if (now.boot - link->last_received_at > max_silence) continue;
    offers.push_back({&row, row.data_centre == board.settings.data_centre,
                      row.Remaining(), 0});
  }
  return offers;
}

// Prefers a peer in the same data centre, then the largest offer.
Offer* ChooseOffer(std::vector<Offer>* offers) {
  const auto it = std::max_element(
      offers->begin(), offers->end(), [](const Offer& a, const Offer& b) {
        return std::tuple(a.remaining > 0, a.is_near, a.remaining) <
               std::tuple(b.remaining > 0, b.is_near, b.remaining);
      });
  return it == offers->end() || it->remaining == 0 ? nullptr : &*it;
}

// Adds the job to the mean size. Returns whether it is at least of that size.
bool CountJobSize(const JobRow& job, OverloadState* state) {
  const auto tasks = static_cast<double>(job.open_tasks);
  if (state->mean_tasks == 0) state->mean_tasks = tasks;
  state->mean_tasks += kJobSizeWeight * (tasks - state->mean_tasks);
  return tasks >= state->mean_tasks;
}

bool MayForward(const JobRow& job) {
  return job.state == JobState::kActive && !job.may_have_started &&
         !job.forwarded_to && !job.asked_to_take_over && !job.is_from_peer &&
         !job.is_kept;
}

const QueueConfig* FindQueueByName(const PoolConfig& config,
                                   const std::string& name) {
  const auto it = std::find_if(
      config.queues.begin(), config.queues.end(),
      [&](const QueueConfig& queue) { return queue.name == name; });
  return it == config.queues.end() ? nullptr : &*it;
}

// Returns the steps of a job as submitted; empty if a task of it has been
// started by an earlier submission.
std::vector<StepSpec> StepsOf(const EntryBoard& board, const JobRow& job) {
  std::vector<StepSpec> steps;
  const auto add = [&steps](std::uint32_t index, const StepSpec& part) {
    if (index >= steps.size()) steps.resize(index + 1);
    const std::uint32_t count = steps[index].count + part.count;
    steps[index] = {count, part.needs, part.estimate};
  };
  const auto [begin, end] = TasksOf(board, job.id);
  for (auto it = begin; it != end; ++it) {
    const TaskRow& task = it->second;
    if (task.state != TaskState::kWaiting || task.run_number != 0) return {};
    // Messages between entries do not carry placement rules.
    if (task.rules != PlacementRules{}) return {};
    add(task.key.step, {1, task.needs, task.estimate});
  }
  const auto [first, last] = UnstartedTasksOf(board, job.id);
  for (auto it = first; it != last; ++it) {
    const UnstartedTasks& tasks = it->second;
    if (tasks.IsBlocked() || tasks.rules != PlacementRules{}) return {};
    add(tasks.first.step, {tasks.count, tasks.needs, tasks.estimate});
  }
  return steps;
}

Decision ForwardDecision(const JobRow& job, Severity severity,
                         std::string event, const std::string& reason,
                         const Now& now) {
  Decision decision{severity,
                    std::move(event),
                    job.id,
                    {{"queue", job.queue}, {"request", job.request_id}},
                    {{"age_ms", ToMilliseconds(now.boot - job.arrived_at)}}};
  if (!reason.empty()) decision.texts.emplace_back("reason", reason);
  return decision;
}

// Returns the time left, rounded down.
milliseconds TimeLeft(const JobRow& job, const Now& now) {
  return std::chrono::duration_cast<milliseconds>(job.deadline_at - now.boot);
}

// Adds the changes that forward a job. Returns false if it cannot be forwarded.
bool ForwardJobTo(const EntryBoard& board, const JobRow& job,
                  const OfferRow& offer, const Now& now,
                  EntryChanges* changes) {
  const QueueConfig* queue = FindQueueByName(board.config, job.queue);
  std::vector<StepSpec> steps = StepsOf(board, job);
  if (queue == nullptr || steps.empty()) return false;
  ForwardJob message;
  message.job = {job.id, job.payload, steps};
  message.request_id = job.request_id;
  message.host = queue->host;
  message.path = queue->path_prefix;
  message.config_version = board.config.version;
  message.age =
      std::chrono::duration_cast<milliseconds>(now.boot - job.arrived_at);
  message.client_timeout = TimeLeft(job, now);
  const auto [begin, end] = TasksOf(board, job.id);
  for (auto it = begin; it != end; ++it) {
    changes->Add(Erase<TaskRow>{it->first});
  }
  EraseUnstartedTasks(board, job.id, changes);
  JobRow row = job;
  row.forwarded_to = offer.link;
  row.forwarded_steps = std::move(steps);
  row.may_have_started = true;
  changes->Add(Put<JobRow>{std::move(row)});
  Decision decision =
      ForwardDecision(job, Severity::kRoutine, "job_forwarded", "", now);
  if (const LinkRow* link = board.links.Find(offer.link)) {
    decision.texts.emplace_back("owner", link->dialed_address->host);
  }
  changes->Add(std::move(decision));
  changes->Add(SendMessage{offer.link, std::move(message)});
  return true;
}

// Adds the tasks of a forwarded job, whose runs may live on at its owner.
void AddLostTasks(const EntryBoard& board, const JobRow& job, const Now& now,
                  EntryChanges* changes) {
  AddMissingTasks(board, job, job.forwarded_steps,
                  now.boot + board.settings.max_forwarded_run_time, changes);
}

// Ends a job that its owner has ended without an outcome.
EntryChanges AbandonEndedJob(const EntryBoard& board, const JobRow& job,
                             ReplyKind kind, const std::string& reason,
                             const Now& now) {
  JobRow ended = job;
  ended.forwarded_to.reset();
  EntryChanges changes = AbandonJob(board, ended, kind, reason, now);
  AddLostTasks(board, job, now, &changes);
  return changes;
}

// Runs a job that its owner has refused, or passes the refusal on.
EntryChanges TakeJobBack(const EntryBoard& board, const JobRow& job,
                         const Now& now) {
  JobRow row = job;
  row.forwarded_to.reset();
  // The tasks of a job that the owner has taken over have rows here.
  row.may_have_started = job.forwarded_steps.empty();
  row.is_kept = true;
  milliseconds longest{0};
  for (const StepSpec& step : job.forwarded_steps) {
    longest = std::max(longest, step.estimate);
  }
  if (board.stopping || longest > TimeLeft(job, now)) {
    return AbandonJob(
        board, row,
        board.stopping ? ReplyKind::kStopping : ReplyKind::kOverloaded,
        "the owner has refused the job", now);
  }
  EntryChanges changes;
  changes.Add(ForwardDecision(job, Severity::kFailure, "forward_refused",
                              "this entry runs the job", now));
  if (!job.forwarded_steps.empty()) {
    // An earlier submission at this entry may have completed some tasks.
    row.open_tasks =
        AddMissingTasks(board, job, job.forwarded_steps, BootTime{0}, &changes);
  }
  row.forwarded_steps.clear();
  changes.Add(Put<JobRow>{std::move(row)});
  return changes;
}

}  // namespace

double ShareOfSize(double share, bool is_large) {
  return std::clamp(is_large ? 2 * share : 2 * share - 1, 0.0, 1.0);
}

EntryChanges ForwardJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (!board.overload.is_overloaded || board.stopping ||
      !HasWaitingTasks(board)) {
    return changes;
  }
  std::vector<Offer> offers = CollectOffers(board, now);
  // Waiting jobs may be forwarded once there is an offer.
  if (offers.empty()) return changes;
  const double share = ForwardShare(board.overload.pressure, board.settings);
  OverloadState state = board.overload;
  for (const std::uint64_t id : JobsWithWaitingTasks(board)) {
    const JobRow* job = board.jobs.Find(id);
    if (job == nullptr || !MayForward(*job)) continue;
    const bool is_large = CountJobSize(*job, &state);
    double& due = is_large ? state.due_large_jobs : state.due_small_jobs;
    due = std::min(due + ShareOfSize(share, is_large), 1.0);
    Offer* offer = due >= 1 ? ChooseOffer(&offers) : nullptr;
    if (offer != nullptr &&
        ForwardJobTo(board, *job, *offer->row, now, &changes)) {
      due -= 1;
      --offer->remaining;
      ++offer->used;
      continue;
    }
    JobRow kept = *job;
    kept.is_kept = true;
    changes.Add(Put<JobRow>{std::move(kept)});
  }
  for (const Offer& it : offers) {
    if (it.used == 0) continue;
    OfferRow row = *it.row;
    row.sent_jobs += it.used;
    changes.Add(Put<OfferRow>{std::move(row)});
  }
  changes.Add(SetOverload{state});
  return changes;
}

EntryChanges HandleForwardedJobEnded(const EntryBoard& board, LinkId link,
                                     const ForwardedJobEnded& message,
                                     const Now& now) {
  const JobRow* job = board.jobs.Find(message.job);
  if (job == nullptr || job->state != JobState::kActive ||
      job->forwarded_to != link) {
    return {};
  }
  JobRow ended = *job;
  ended.forwarded_to.reset();
  switch (message.outcome) {
    case ForwardedOutcome::kCompleted:
      return CompleteJob(board, ended, now);
    case ForwardedOutcome::kFailed:
      return FailJob(board, ended, "the job failed at its owner", now);
    case ForwardedOutcome::kRefused:
      return TakeJobBack(board, *job, now);
    case ForwardedOutcome::kCancelled:
      return AbandonEndedJob(board, *job, ReplyKind::kCancelled,
                             "cancelled at its owner", now);
    case ForwardedOutcome::kGivenUp:
      return AbandonEndedJob(board, *job, ReplyKind::kGivenUp,
                             "given up by its owner", now);
    case ForwardedOutcome::kUnknown:
    case ForwardedOutcome::kAtWork:
      // Answers to a question, see HandlePeerAnswer.
      break;
  }
  return {};
}

EntryChanges GiveUpForwardedJobs(const EntryBoard& board, LinkId link,
                                 const Now& now) {
  EntryChanges changes;
  for (const std::uint64_t id : board.active_jobs) {
    const JobRow& job = *board.jobs.Find(id);
    if (job.forwarded_to != link) continue;
    changes.Append(AbandonJob(board, job, ReplyKind::kGivenUp,
                              "the link to the job's owner is lost", now));
  }
  changes.Add(Erase<OfferRow>{link});
  return changes;
}

EntryChanges WithdrawJob(const EntryBoard& board, const JobRow& job,
                         ReplyKind kind, const Now& now) {
  EntryChanges changes;
  if (!job.forwarded_to) return changes;
  const bool is_final = kind == ReplyKind::kCancelled;
  changes.Add(SendMessage{*job.forwarded_to, CancelJob{0, job.id, is_final}});
  AddLostTasks(board, job, now, &changes);
  return changes;
}

}  // namespace dottereltrack::pool
