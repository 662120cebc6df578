#include "apps/pool_common/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace dottereltrack::pool {
namespace {

// Must match `metrics` in deploy/system.toml.
constexpr std::uint16_t kMetricsPort = 9464;
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kStatePath = "/state";

// In seconds. Users' jobs take 0.05 to 5 s.
const prometheus::Histogram::BucketBoundaries kDurationBucketsSeconds = {
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

std::string FindTextField(const Decision& decision, const std::string& name) {
  for (const auto& [key, value] : decision.texts) {
    if (key == name) return value;
  }
  return {};
}

const std::int64_t* FindNumericField(const Decision& decision,
                                     const std::string& name) {
  for (const auto& [key, value] : decision.numbers) {
    if (key == name) return &value;
  }
  return nullptr;
}

}  // namespace

struct PoolMetrics::Families {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& decisions =
      prometheus::BuildCounter()
          .Name("dottereltrack_decisions_total")
          .Help("Decisions by event, reason and end")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& durations =
      prometheus::BuildHistogram()
          .Name("dottereltrack_duration_seconds")
          .Help("Time from acceptance to answer of jobs, and of runs")
          .Register(registry);
};

PoolMetrics::PoolMetrics(asio::io_context& loop, const HttpLimits& limits,
                         std::vector<Gauge> gauges,
                         std::function<std::string()> dump_state)
    : gauges_(std::move(gauges)),
      dump_state_(std::move(dump_state)),
      families_(std::make_unique<Families>()),
      http_server_(
          loop, limits,
          {[this](const HttpRequest& request, const HttpReplier& reply) {
             reply(Serve(request.path));
           },
           {},
           {}}) {}

PoolMetrics::~PoolMetrics() = default;

HttpResponse PoolMetrics::Serve(const std::string& path) {
  HttpResponse response;
  if (path == kMetricsPath) {
    response.content_type = "text/plain; version=0.0.4";
    response.body = Render();
  } else if (path == kStatePath) {
    response.body = dump_state_();
  } else {
    response.status = 404;
  }
  return response;
}

void PoolMetrics::Count(const Decision& decision) {
  prometheus::Labels labels = {{"event", decision.event}};
  const std::string reason = FindTextField(decision, "reason");
  const std::string end = FindTextField(decision, "end");
  if (!reason.empty()) labels["reason"] = reason;
  if (!end.empty()) labels["end"] = end;
  families_->decisions.Add(labels).Increment();
  const bool is_job_answer =
      decision.event == "job_completed" || decision.event == "job_late";
  const std::int64_t* duration_ms =
      FindNumericField(decision, is_job_answer ? "age_ms" : "duration_ms");
  if (duration_ms == nullptr) return;
  families_->durations.Add({{"event", decision.event}}, kDurationBucketsSeconds)
      .Observe(static_cast<double>(*duration_ms) / 1'000);
}

std::string PoolMetrics::Render() {
  for (const Gauge& gauge : gauges_) {
    prometheus::BuildGauge()
        .Name(gauge.name)
        .Help(gauge.help)
        .Register(families_->registry)
        .Add({})
        .Set(gauge.read());
  }
  return prometheus::TextSerializer{}.Serialize(families_->registry.Collect());
}

void PoolMetrics::Listen(const std::string& host, EventLog& log) {
  if (http_server_.Listen({host, kMetricsPort})) return;
  log.Write("metrics_unavailable",
            {{"problem", "the port is in use"}, {"port", kMetricsPort}});
}

}  // namespace dottereltrack::pool
