#include "api/agent_views.h"
#include "api/cell_json.h"
#include "api/json_text.h"
#include "core/agent/draining.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

const char* NameOf(LedgerState state) {
  switch (state) {
    case LedgerState::kRunning:
      return "running";
    case LedgerState::kDone:
      return "done";
    case LedgerState::kFailed:
      return "failed";
    case LedgerState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

json ToRow(const LedgerRow& row) {
  return {{"submission", ToHex(row.entry.id.submission)},
          {"task", row.entry.id.index},
          {"state", NameOf(row.entry.state)},
          {"output_bytes", row.entry.output->size()},
          {"output_dropped", row.entry.output_dropped},
          {"copied", row.copied},
          {"recorded_at_us", row.recorded_at.count()},
          {"finished_at_us", row.finished_at.count()},
          {"run_time_us", row.run_time.count()}};
}

json ToRow(const WitnessRow& row) {
  return {{"submission", ToHex(row.entry.submission)},
          {"closed", row.entry.closed},
          {"recorded_at_us", row.recorded_at.count()}};
}

json ToRow(const EntryLink& row) {
  return {{"link", row.id.value}, {"entry", ToHex(row.entry.value)}};
}

json ToRow(const EntryDial& row) {
  return {{"host", row.address.host},
          {"port", row.address.port},
          {"dialing", row.dialing},
          {"link", row.link.value},
          {"next_try_at_us", row.next_try_at.count()}};
}

json ToRow(const MinionDescription& minion) {
  return {{"name", minion.name},
          {"instance", ToHex(minion.instance)},
          {"labels", minion.labels},
          {"slots", minion.slots},
          {"connections", minion.connections},
          {"memory_bytes", minion.memory_bytes},
          {"accelerators", minion.accelerators},
          {"data_centre", minion.data_centre},
          {"rack", minion.rack}};
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

}  // namespace

ApiReply RenderState(const AgentBoard& board, std::size_t max_rows) {
  json counters = json::object();
  for (std::size_t n = 0; n < kAgentCounterCount; ++n) {
    counters[NameOf(static_cast<AgentCounter>(n))] = board.counters[n];
  }
  ApiReply reply;
  reply.body =
      ToJsonText({{"agent", ToHex(board.settings.id.value)},
                  {"minion", board.minion ? ToRow(*board.minion) : json()},
                  {"draining", IsDraining(board)},
                  {"stopping", board.stopping},
                  {"generation", board.fence.generation},
                  {"session", board.fence.session},
                  {"dispatcher_link", board.dispatcher_link.value},
                  {"handled_seq", board.handled_seq},
                  {"acked_seq", board.acked_seq},
                  {"table", ToJson(board.table)},
                  {"config_version", board.config.config.version},
                  {"running", board.running.size()},
                  {"output_bytes", board.output_bytes},
                  {"counters", std::move(counters)},
                  {"ledger", ToTable(board.ledger, max_rows)},
                  {"witnesses", ToTable(board.witnesses, max_rows)},
                  {"links", ToTable(board.links, max_rows)},
                  {"dials", ToTable(board.dials, max_rows)}});
  return reply;
}

ApiReply RenderHealth(const AgentBoard& board) {
  ApiReply reply;
  reply.status = board.stopping ? 503 : 200;
  reply.body = ToJsonText({{"status", board.stopping ? "stopping" : "ok"},
                           {"minion_announced", board.minion.has_value()},
                           {"links", board.links.size()}});
  return reply;
}

}  // namespace dottereltrack
