#include <prometheus/text_serializer.h>

#include <iterator>
#include <vector>

#include "api/agent_views.h"
#include "core/agent/draining.h"

namespace dottereltrack {
namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

struct CounterDescription {
  const char* name;
  const char* help;
};

// Indexed by AgentCounter.
constexpr CounterDescription kCounterDescriptions[] = {
    {"starts", "Tasks started on the minion."},
    {"starts_refused", "Task starts refused."},
    {"duplicate_starts_dropped", "Starts of tasks that the ledger has."},
    {"stale_fence_messages", "Messages under an old fence."},
    {"results_sent", "Results sent to the dispatcher."},
    {"messages_sent", "Messages sent to entries."},
    {"inventories_sent", "Inventories sent to dispatchers."},
    {"outputs_dropped", "Outputs dropped to stay within the memory limit."},
};
static_assert(std::size(kCounterDescriptions) == kAgentCounterCount,
              "each counter needs a name and a help text");

MetricFamily MakeMetricFamily(const std::string& name, const std::string& help,
                              MetricType type, double value) {
  prometheus::ClientMetric metric;
  metric.counter.value = value;
  metric.gauge.value = value;
  return {"dottereltrack_agent_" + name, help, type, {metric}};
}

MetricFamily MakeGauge(const std::string& name, const std::string& help,
                       std::size_t value) {
  return MakeMetricFamily(name, help, MetricType::Gauge,
                          static_cast<double>(value));
}

}  // namespace

const char* NameOf(AgentCounter counter) {
  return kCounterDescriptions[static_cast<std::size_t>(counter)].name;
}

ApiReply RenderMetrics(const AgentBoard& board) {
  std::vector<MetricFamily> families{
      MakeGauge("running_tasks", "Tasks that run on the minion.",
                board.running.size()),
      MakeGauge("slots", "Slots of the minion.",
                board.minion ? board.minion->slots : 0),
      MakeGauge("draining", "1 while no new task is taken.", IsDraining(board)),
      MakeGauge("generation", "Newest generation known.",
                board.fence.generation),
      MakeGauge("config_version", "Version of the configuration in force.",
                board.config.config.version),
      MakeGauge("entry_links", "Connections to entries.", board.links.size()),
      MakeGauge("ledger_rows", "Tasks in the ledger.", board.ledger.size()),
      MakeGauge("ledger_output_bytes", "Outputs in the ledger.",
                board.output_bytes),
      MakeGauge("witness_rows", "Witness records.", board.witnesses.size())};
  for (std::size_t n = 0; n < kAgentCounterCount; ++n) {
    families.push_back(
        MakeMetricFamily(std::string(kCounterDescriptions[n].name) + "_total",
                         kCounterDescriptions[n].help, MetricType::Counter,
                         static_cast<double>(board.counters[n])));
  }
  ApiReply reply;
  reply.content_type = "text/plain; version=0.0.4";
  reply.body = prometheus::TextSerializer().Serialize(families);
  return reply;
}

}  // namespace dottereltrack
