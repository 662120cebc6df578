#include "apps/pool_agent/state_dump.h"

#include "apps/pool_common/table_json.h"
#include "core/pool/agent/capacity.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {
namespace {

using nlohmann::json;

const char* NameOf(RunPhase phase) {
  switch (phase) {
    case RunPhase::kStarting:
      return "starting";
    case RunPhase::kUnconfirmed:
      return "unconfirmed";
    case RunPhase::kRunning:
      return "running";
    case RunPhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

json RowToJson(const RunRow& run, const Now& now) {
  return {{"task", ToText(run.key.task)},
          {"run", run.key.number},
          {"phase", NameOf(run.phase)},
          {"cpu_millis", run.needs.cpu_millis},
          {"estimate_ms", run.estimate.count()},
          {"started_ms_ago", AgeMs(run.started_at, now)},
          {"percent", run.percent},
          {"progress_ms_ago", AgeMs(run.progress_at, now)}};
}

json RowToJson(const EntryLinkRow& link, const Now& now) {
  return {{"link", link.id.value},
          {"address", ToText(link.address)},
          {"heard_ms_ago", AgeMs(link.last_received_at, now)},
          {"reported_ms_ago", AgeMs(link.reported_at, now)}};
}

json MinionToJson(const AgentBoard& board, const Now& now) {
  if (!board.minion) return nullptr;
  const MinionReport& minion = *board.minion;
  return {{"minion", minion.id},
          {"service", minion.service},
          {"draining", minion.draining},
          {"capacity_cpu_millis", minion.capacity.cpu_millis},
          {"free_cpu_millis", FreeResources(board).cpu_millis},
          {"accepting", IsAccepting(board, now)},
          {"clock_read_ms_ago", AgeMs(board.clock.read_at, now)},
          {"failed_looks", board.poll.failures},
          {"look_sent_ms_ago", AgeMs(board.poll.sent_at, now)},
          {"failure_share", board.health.failure_share},
          {"suspended_for_ms", -AgeMs(board.health.suspended_until, now)},
          {"on_trial", board.health.on_trial},
          {"log_slowness", board.health.log_slowness}};
}

}  // namespace

std::string DumpState(const AgentBoard& board, const Now& now) {
  const json dump = {
      {"stopping", board.stopping},
      {"fence", board.fencing_token},
      {"minion", MinionToJson(board, now)},
      {"runs", TableToJson(board.runs, now, &RowToJson)},
      {"evacuations",
       TableToJson(board.evacuations.rows, now, &EvacuationToJson)},
      {"links", TableToJson(board.links, now, &RowToJson)},
      {"entries", TableToJson(board.entries, now, &KnownEntryToJson)}};
  return dump.dump() + "\n";
}

}  // namespace dottereltrack::pool
