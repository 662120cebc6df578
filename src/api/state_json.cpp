#include "api/state_json.h"

#include "api/cell_json.h"
#include "api/json_text.h"
#include "api/metrics.h"
#include "api/status_json.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

std::string FormatId(const SubmissionId& id) { return ToHex(id); }
std::string FormatId(const TaskId& id) {
  return ToHex(id.submission) + "/" + std::to_string(id.index);
}
std::string FormatId(const AgentId& id) { return ToHex(id.value); }
std::string FormatId(const EntryId& id) { return ToHex(id.value); }

json ToRow(const Fence& fence) {
  return {{"generation", fence.generation}, {"session", fence.session}};
}

const char* NameOf(JobState state) {
  switch (state) {
    case JobState::kWitnessing:
      return "witnessing";
    case JobState::kOpen:
      return "open";
    case JobState::kClosing:
      return "closing";
    case JobState::kComplete:
      return "complete";
    case JobState::kFailed:
      return "failed";
  }
  return "unknown";
}

const char* NameOf(TaskState state) {
  switch (state) {
    case TaskState::kUnresolved:
      return "unresolved";
    case TaskState::kQueued:
      return "queued";
    case TaskState::kSent:
      return "sent";
    case TaskState::kFinal:
      return "final";
  }
  return "unknown";
}

const char* NameOf(const TaskOutcome& outcome) {
  static constexpr const char* names[] = {"done", "failed", "not_run",
                                          "unknown"};
  return names[outcome.index()];
}

json ToRow(const Job& job) {
  return {{"id", FormatId(job.id)},
          {"team", job.team},
          {"state", NameOf(job.state)},
          {"failure", job.failure},
          {"tasks", job.task_count},
          {"final_tasks", job.final_tasks},
          {"bad_tasks", job.unsuccessful_tasks},
          {"accepted_at_us", job.accepted_at.count()},
          {"deadline_at_us", job.deadline_at.count()},
          {"finished_at_us", job.finished_at.count()}};
}

json ToRow(const Task& task) {
  json row = {{"id", FormatId(task.id)},
              {"state", NameOf(task.state)},
              {"refused_starts", task.refused_starts}};
  if (task.outcome) row["outcome"] = NameOf(*task.outcome);
  if (task.state == TaskState::kQueued) return row;
  row["agent"] = FormatId(task.agent);
  row["holder"] = FormatId(task.holder);
  row["fence"] = ToRow(task.fence);
  row["sent_at_us"] = task.sent_at.count();
  return row;
}

json ToRow(const ClosedSubmission& closed) {
  return {{"id", FormatId(closed.id)},
          {"refusal", ToString(closed.refusal.kind)},
          {"closed_at_us", closed.closed_at.count()}};
}

json ToRow(const OpenCall& call) {
  static constexpr const char* kinds[] = {"submit", "fetch", "cancel"};
  return {{"call", call.id.value},
          {"kind", kinds[static_cast<std::size_t>(call.kind)]},
          {"submission", FormatId(call.submission)},
          {"opened_at_us", call.opened_at.count()},
          {"forwarded_to", call.forwarded_to.value},
          {"request_id", call.request_id},
          {"served_here", call.served_here}};
}

json ToRow(const Waiter& waiter) {
  json row = {{"submission", FormatId(waiter.submission)}};
  if (const auto* call = std::get_if<CallId>(&waiter.reply_to)) {
    row["call"] = call->value;
  } else {
    const auto& peer = std::get<PeerRequest>(waiter.reply_to);
    row["entry"] = FormatId(peer.entry);
    row["request_id"] = peer.request_id;
  }
  return row;
}

json ToRow(const AgentRow& agent) {
  return {{"agent", FormatId(agent.id)},
          {"link", agent.link.value},
          {"phase", ToString(agent.phase)},
          {"minion", agent.minion.name},
          {"fence", ToRow(agent.fence)},
          {"next_seq", agent.next_seq},
          {"unacked", agent.unacked.size()},
          {"acked_sent_at_us", agent.acked_sent_at.count()},
          {"last_sent_at_us", agent.last_sent_at.count()},
          {"lost_at_us", agent.lost_at.count()},
          {"leaving", agent.leaving},
          {"reprotected", agent.records_transferred}};
}

json ToRow(const InventoryStatus& inventory) {
  return {{"agent", FormatId(inventory.agent)},
          {"fence", ToRow(inventory.fence)},
          {"complete", inventory.complete},
          {"reported", inventory.reported.size()}};
}

json ToRow(const RecoveredTask& task) {
  return {{"id", FormatId(task.entry.id)}, {"holder", FormatId(task.holder)}};
}

json ToRow(const WitnessRecord& record) {
  return {{"submission", FormatId(record.entry.submission)},
          {"closed", record.entry.closed},
          {"chosen", record.selected.size()},
          {"asked", record.pending_requests.size()},
          {"holders", record.holders.size()}};
}

json ToRow(const MinionSpeed& speed) {
  return {{"minion", speed.minion},
          {"kind", speed.kind},
          {"time_ratio", speed.time_ratio},
          {"weight_seconds", speed.weight_seconds}};
}

json ToRow(const MinionHealth& health) {
  return {{"minion", health.minion},
          {"failures", health.failures},
          {"successes", health.successes},
          {"ejected", health.ejected}};
}

json ToRow(const PeerRow& peer) {
  return {{"entry", FormatId(peer.id)},
          {"links", peer.links.size()},
          {"last_heard_at_us", peer.last_heard_at.count()},
          {"dialing", peer.dialing}};
}

json ToRow(const PendingConfigChange& change) {
  return {{"call", change.call.value},
          {"version", change.config.version},
          {"undecided", change.undecided}};
}

json ToRow(const CancelRequest& cancel) {
  return {{"id", FormatId(cancel.id)}, {"agent", FormatId(cancel.agent)}};
}

json ToRow(const RecordTransfer& copy) {
  return {{"source", FormatId(copy.source)},
          {"target", FormatId(copy.target)},
          {"unacked_parts", copy.unacked_parts}};
}

template <typename Row>
json ToTable(const Table<Row>& table, std::size_t max_rows) {
  json rows = json::array();
  for (const auto& [key, row] : table) {
    if (rows.size() == max_rows) break;
    rows.push_back(ToRow(row));
  }
  return {{"size", table.size()}, {"rows", std::move(rows)}};
}

json ToRow(const Authority& authority) {
  return {{"role", ToString(authority.role)},
          {"generation", authority.generation},
          {"inventory_settled", authority.inventory_settled},
          {"uninventoried", authority.agents_without_inventory.size()},
          {"next_session", authority.next_session}};
}

}  // namespace

ApiReply RenderState(const EntryBoard& board, std::size_t max_rows) {
  json counters = json::object();
  for (std::size_t n = 0; n < kCounterCount; ++n) {
    counters[NameOf(static_cast<Counter>(n))] = board.counters[n];
  }
  ApiReply reply;
  reply.body = ToJsonText({
      {"entry", FormatId(board.settings.id)},
      {"stopping", board.stopping},
      {"authority", ToRow(board.authority)},
      {"table", ToJson(board.stored_table)},
      {"config_revision", board.stored_config.revision},
      {"config", ToJson(board.stored_config.config)},
      {"counters", std::move(counters)},
      {"jobs", ToTable(board.jobs, max_rows)},
      {"tasks", ToTable(board.tasks, max_rows)},
      {"closed", ToTable(board.closed_submissions, max_rows)},
      {"waiters", ToTable(board.waiters, max_rows)},
      {"calls", ToTable(board.open_calls, max_rows)},
      {"agents", ToTable(board.agents, max_rows)},
      {"inventories", ToTable(board.inventories, max_rows)},
      {"recovered", ToTable(board.recovered_tasks, max_rows)},
      {"witnesses", ToTable(board.witnesses, max_rows)},
      {"speeds", ToTable(board.minion_speeds, max_rows)},
      {"health", ToTable(board.minion_health, max_rows)},
      {"peers", ToTable(board.peers, max_rows)},
      {"config_changes", ToTable(board.config_changes, max_rows)},
      {"cancels", ToTable(board.cancel_requests, max_rows)},
      {"reprotections", ToTable(board.record_transfers, max_rows)},
  });
  return reply;
}

}  // namespace dottereltrack
