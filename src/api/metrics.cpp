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

struct CounterText {
  const char* name;
  const char* help;
};

// Indexed by Counter.
constexpr CounterText kCounterTexts[] = {
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
static_assert(std::size(kCounterTexts) == kCounterCount,
              "each counter needs a name and a help text");

MetricFamily Family(const std::string& name, const std::string& help,
                    prometheus::MetricType type, double value) {
  prometheus::ClientMetric metric;
  metric.counter.value = value;
  metric.gauge.value = value;
  return {"dottereltrack_entry_" + name, help, type, {metric}};
}

MetricFamily Gauge(const std::string& name, const std::string& help,
                   std::size_t value) {
  return Family(name, help, prometheus::MetricType::Gauge,
                static_cast<double>(value));
}

void AddCounters(const EntryBoard& board, std::vector<MetricFamily>* families) {
  for (std::size_t n = 0; n < kCounterCount; ++n) {
    families->push_back(Family(std::string(kCounterTexts[n].name) + "_total",
                               kCounterTexts[n].help,
                               prometheus::MetricType::Counter,
                               static_cast<double>(board.counters[n])));
  }
}

void AddGauges(const EntryBoard& board, const Now& now,
               std::vector<MetricFamily>* families) {
  const bool dispatches = board.authority.role == Role::kDispatcher;
  std::size_t in_progress = 0;
  for (const auto& [agent, tasks] : board.sent_tasks_by_agent) {
    in_progress += tasks.size();
  }
  for (MetricFamily& family : std::vector<MetricFamily>{
           Gauge("is_dispatcher", "1 on the cell's dispatcher.", dispatches),
           Gauge("has_authority", "1 while starts may be sent.",
                 HasAuthority(board, now)),
           Gauge("generation", "Newest generation known.",
                 board.stored_table.table.generation),
           Gauge("config_version", "Version of the configuration in force.",
                 board.stored_config.config.version),
           Gauge("queued_tasks", "Tasks that wait for a slot.",
                 board.queued_tasks),
           Gauge("tasks_in_progress", "Tasks sent and not ended.", in_progress),
           Gauge("open_calls", "Calls of callers without a reply.",
                 board.open_calls.size()),
           Gauge("agents", "Agents known.", board.agents.size()),
           Gauge("peers", "Other entries known.", board.peers.size()),
           Gauge("store_failures", "Failed calls of the store in a row.",
                 board.store.failures)}) {
    families->push_back(std::move(family));
  }
}

// Bucket bounds in seconds, from a tenth of the target for added latency
// (0.5 ms) to the longest deadline (600 s).
const prometheus::Histogram::BucketBoundaries& Buckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,     0.2,    0.5,    1,      2,     5,     10,    60,   600};
  return buckets;
}

}  // namespace

class EntryMetrics::Impl {
 public:
  Impl()
      : histograms_{&Add("start_delay_seconds",
                         "From the acceptance of a job to a task's start."),
                    &Add("turn_seconds", "One turn of the loop."),
                    &Add("call_seconds", "From a call to its reply.")} {}

  void Observe(AddedTime kind, microseconds time) {
    histograms_[static_cast<std::size_t>(kind)]->Observe(
        std::chrono::duration<double>(time).count());
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
  prometheus::Histogram& Add(const std::string& name, const std::string& help) {
    return prometheus::BuildHistogram()
        .Name("dottereltrack_entry_" + name)
        .Help(help)
        .Register(registry_)
        .Add({}, Buckets());
  }

  prometheus::Registry registry_;
  std::array<prometheus::Histogram*, 3> histograms_;
};

const char* NameOf(Counter counter) {
  return kCounterTexts[static_cast<std::size_t>(counter)].name;
}

EntryMetrics::EntryMetrics() : impl_(std::make_unique<Impl>()) {}
EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::Observe(AddedTime kind, microseconds time) {
  impl_->Observe(kind, time);
}

ApiReply EntryMetrics::Render(const EntryBoard& board, const Now& now) const {
  ApiReply reply;
  reply.content_type = "text/plain; version=0.0.4";
  reply.body = impl_->Render(board, now);
  return reply;
}

}  // namespace dottereltrack
