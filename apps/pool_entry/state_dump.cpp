#include "apps/pool_entry/state_dump.h"

#include <vector>

#include "apps/pool_common/table_json.h"
#include "core/pool/entry/unstarted_tasks.h"

namespace dottereltrack::pool {
namespace {

using nlohmann::json;

const char* NameOf(JobState state) {
  switch (state) {
    case JobState::kActive:
      return "active";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

const char* NameOf(TaskState state) {
  switch (state) {
    case TaskState::kWaiting:
      return "waiting";
    case TaskState::kPlaced:
      return "placed";
    case TaskState::kStopping:
      return "stopping";
    case TaskState::kLost:
      return "lost";
    case TaskState::kDone:
      return "done";
  }
  return "unknown";
}

json RowToJson(const JobRow& job, const Now& now) {
  return {{"job", JobIdToText(job.id)},
          {"request", job.request_id},
          {"queue", job.queue},
          {"state", NameOf(job.state)},
          {"open_tasks", job.open_tasks},
          {"callers", job.waiters.size()},
          {"owner_link", job.forwarded_to ? job.forwarded_to->value : 0},
          {"from_peer", job.is_from_peer},
          {"age_ms", AgeMs(job.arrived_at, now)},
          {"past_goal_ms", AgeMs(job.goal_at, now)},
          {"past_deadline_ms", AgeMs(job.deadline_at, now)}};
}

json RowToJson(const TaskRow& task, const Now& now) {
  json row = {{"task", ToText(task.key)},
              {"state", NameOf(task.state)},
              {"run", task.run_number},
              {"failures", task.failures}};
  if (task.run_number != 0) {
    row["minion"] = task.minion;
    row["placed_ms_ago"] = AgeMs(task.placed_at, now);
  }
  return row;
}

json RowToJson(const UnstartedTasks& tasks, const Now&) {
  return {{"first_task", ToText(tasks.first)}, {"tasks", tasks.count}};
}

json RowToJson(const LinkRow& link, const Now& now) {
  return {{"link", link.id.value},
          {"heard_ms_ago", AgeMs(link.last_received_at, now)},
          {"sent_ms_ago", AgeMs(link.last_sent_at, now)}};
}

json RowToJson(const AgentRow& agent, const Now&) {
  return {{"link", agent.link.value},
          {"minion", agent.hello->minion},
          {"service", agent.hello->service},
          {"data_centre", agent.hello->data_centre},
          {"accepting", agent.load.accepting},
          {"free_cpu_millis", agent.free.cpu_millis},
          {"unreported_starts", agent.unreported_starts.size()}};
}

json RowToJson(const OfferRow& offer, const Now&) {
  return {{"link", offer.link.value},
          {"data_centre", offer.data_centre},
          {"remaining", offer.Remaining()},
          {"sent_jobs", offer.sent_jobs}};
}

json RowToJson(const DemandRow& demand, const Now& now) {
  return {{"link", demand.link.value},
          {"overloaded", demand.is_overloaded},
          {"offered_jobs", demand.offered_jobs},
          {"received_jobs", demand.received_jobs},
          {"offered_ms_ago", AgeMs(demand.offered_at, now)}};
}

json RowToJson(const PeerJobs& peer, const Now& now) {
  json row = {{"link", peer.link.value},
              {"address", peer.address.host},
              {"jobs", CountDigests(peer.jobs)}};
  if (peer.lost_at) row["lost_ms_ago"] = AgeMs(*peer.lost_at, now);
  return row;
}

json RowToJson(const PendingSubmission& held, const Now& now) {
  return {{"job", JobIdToText(held.submission.job.id)},
          {"request", held.submission.request_id},
          {"unanswered", held.unanswered.size()},
          {"awaits_announcements", held.awaits_announcements},
          {"held_ms", AgeMs(held.received_at, now)}};
}

json TasksToJson(const std::vector<TaskKey>& tasks) {
  json names = json::array();
  for (const TaskKey& task : tasks) names.push_back(ToText(task));
  return names;
}

json RowToJson(const MinionCrash& crash, const Now& now) {
  return {{"minion", crash.minion.id},
          {"started_ms", crash.minion.started_ms},
          {"crashed_ms_ago", AgeMs(crash.crashed_at, now)},
          {"suspects", TasksToJson(crash.suspects.certain)},
          {"possible_suspects", TasksToJson(crash.suspects.possible)}};
}

}  // namespace

std::string DumpState(const EntryBoard& board, const Now& now) {
  const json dump = {
      {"age_ms", AgeMs(board.started_at, now)},
      {"stopping", board.stopping},
      {"config_version", board.config.version},
      {"waiting_tasks", CountWaitingTasks(board)},
      {"lost_tasks", board.lost_tasks.size()},
      {"load", board.overload.pressure},
      {"overloaded", board.overload.is_overloaded},
      {"offers", TableToJson(board.offers, now, &RowToJson)},
      {"demands", TableToJson(board.demands, now, &RowToJson)},
      {"jobs", TableToJson(board.jobs, now, &RowToJson)},
      {"tasks", TableToJson(board.tasks, now, &RowToJson)},
      {"unstarted_tasks", TableToJson(board.unstarted_tasks, now, &RowToJson)},
      {"agents", TableToJson(board.agents, now, &RowToJson)},
      {"accepted_jobs", CountDigests(board.accepted_jobs.announced)},
      {"peer_jobs", TableToJson(board.peer_jobs, now, &RowToJson)},
      {"held_submissions",
       TableToJson(board.pending_submissions, now, &RowToJson)},
      {"crashes", TableToJson(board.crashes, now, &RowToJson)},
      {"evacuations",
       TableToJson(board.evacuations.rows, now, &EvacuationToJson)},
      {"links", TableToJson(board.links, now, &RowToJson)},
      {"entries", TableToJson(board.peers, now, &KnownEntryToJson)}};
  return dump.dump() + "\n";
}

}  // namespace dottereltrack::pool
