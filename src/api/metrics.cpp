#include "api/metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "core/entry/authority.h"

namespace dottereltrack {
namespace {

using prometheus::MetricFamily;

struct CounterDescription {
  const char* name;
  const char* help;
};

// Indexed by Counter.
constexpr CounterDescription kCounterDescriptions[] = {
    {"jobs_accepted", "Jobs that this dispatcher has accepted."},
    {"jobs_complete", "Jobs all of whose tasks are done."},
    {"jobs_failed", "Jobs with an answer that are not complete."},
    {"refusals", "Requests that were refused."},
    {"starts_sent", "Task starts sent to agents."},
    {"starts_refused", "Task starts that agents refused."},
    {"results", "Results received from agents."},
    {"outcomes_unknown", "Tasks that ended as unknown."},
    {"foreign_replies_dropped", "Replies that match no open request."},
    {"late_results_dropped", "Results after the task's final outcome."},
    {"stale_link_messages_dropped", "Messages over links that are replaced."},
    {"takeovers", "Takeovers by this entry."},
    {"step_downs", "Times that this entry stopped being dispatcher."},
    {"heartbeats_sent", "Heartbeats sent to agents and entries."},
    {"forwards", "Requests forwarded to the dispatcher."},
    {"witness_requests", "Messages that ask agents for witness records."},
    {"ledger_copies", "Messages that copy records to another agent."},
    {"store_calls", "Calls of the store."},
    {"messages_to_agents", "Messages sent to agents."},
    {"messages_to_peers", "Messages sent to other entries."},
};
static_assert(std::size(kCounterDescriptions) == kCounterCount,
              "each counter needs a name and a help text");

MetricFamily MakeMetricFamily(const std::string& name, const std::string& help,
                              prometheus::MetricType type, double value) {
  prometheus::ClientMetric metric;
  metric.counter.value = value;
  metric.gauge.value = value;
  return {"dottereltrack_entry_" + name, help, type, {metric}};
}

MetricFamily MakeGauge(const std::string& name, const std::string& help,
                       std::size_t value) {
  return MakeMetricFamily(name, help, prometheus::MetricType::Gauge,
                          static_cast<double>(value));
}

void AddCounters(const EntryBoard& board, std::vector<MetricFamily>* families) {
  for (std::size_t n = 0; n < kCounterCount; ++n) {
    families->push_back(MakeMetricFamily(
        std::string(kCounterDescriptions[n].name) + "_total",
        kCounterDescriptions[n].help, prometheus::MetricType::Counter,
        static_cast<double>(board.counters[n])));
  }
}

void AddGauges(const EntryBoard& board, const Now& now,
               std::vector<MetricFamily>* families) {
  const bool is_dispatcher = board.authority.role == Role::kDispatcher;
  std::size_t in_progress = 0;
  for (const auto& [agent, tasks] : board.sent_tasks_by_agent) {
    in_progress += tasks.size();
  }
  for (MetricFamily& family : std::vector<MetricFamily>{
           MakeGauge("is_dispatcher", "1 on the cell's dispatcher.",
                     is_dispatcher),
           MakeGauge("has_authority", "1 while starts may be sent.",
                     HasAuthority(board, now)),
           MakeGauge("generation", "Newest generation known.",
                     board.stored_table.table.generation),
           MakeGauge("config_version", "Version of the configuration in force.",
                     board.stored_config.config.version),
           MakeGauge("queued_tasks", "Tasks that wait for a slot.",
                     board.queued_tasks),
           MakeGauge("tasks_in_progress", "Tasks sent and not ended.",
                     in_progress),
           MakeGauge("open_calls", "Calls of callers without a reply.",
                     board.open_calls.size()),
           MakeGauge("agents", "Agents known.", board.agents.size()),
           MakeGauge("peers", "Other entries known.", board.peers.size()),
           MakeGauge("store_failures", "Failed calls of the store in a row.",
                     board.store.failures)}) {
    families->push_back(std::move(family));
  }
}

// Bucket bounds in seconds, from a tenth of the target for added latency
// (0.5 ms) to the longest deadline (600 s).
const prometheus::Histogram::BucketBoundaries& LatencyBucketBounds() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,     0.2,    0.5,    1,      2,     5,     10,    60,   600};
  return buckets;
}

}  // namespace

class EntryMetrics::Impl {
 public:
  Impl()
      : histograms_{
            &AddHistogram("start_delay_seconds",
                          "From the acceptance of a job to a task's start."),
            &AddHistogram("turn_seconds", "One turn of the loop."),
            &AddHistogram("call_seconds", "From a call to its reply.")} {}

  void Observe(LatencyKind kind, microseconds latency) {
    histograms_[static_cast<std::size_t>(kind)]->Observe(
        std::chrono::duration<double>(latency).count());
  }

  std::string Render(const EntryBoard& board, const Now& now) const {
    std::vector<MetricFamily> families;
    AddCounters(board, &families);
    AddGauges(board, now, &families);
    for (MetricFamily& family : registry_.Collect()) {
      families.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(families);
  }

 private:
  prometheus::Histogram& AddHistogram(const std::string& name,
                                      const std::string& help) {
    return prometheus::BuildHistogram()
        .Name("dottereltrack_entry_" + name)
        .Help(help)
        .Register(registry_)
        .Add({}, LatencyBucketBounds());
  }

  prometheus::Registry registry_;
  std::array<prometheus::Histogram*, 3> histograms_;
};

const char* NameOf(Counter counter) {
  return kCounterDescriptions[static_cast<std::size_t>(counter)].name;
}

EntryMetrics::EntryMetrics() : impl_(std::make_unique<Impl>()) {}
EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::Observe(LatencyKind kind, microseconds latency) {
  impl_->Observe(kind, latency);
}

ApiReply EntryMetrics::Render(const EntryBoard& board, const Now& now) const {
  ApiReply reply;
  reply.content_type = "text/plain; version=0.0.4";
  reply.body = impl_->Render(board, now);
  return reply;
}

}  // namespace dottereltrack
