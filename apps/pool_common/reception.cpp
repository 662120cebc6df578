#include "apps/pool_common/reception.h"

#include <utility>

#include "runtime/reception/reception_table.h"

namespace dottereltrack::pool {
namespace {

ReceptionLimits LimitsOf(const users_platform::NodeSettings& settings,
                         std::size_t max_body_bytes) {
  return DeriveReceptionLimits(
      settings.memory_mb,
      ConnectionsWithinDescriptors(settings.max_descriptors), max_body_bytes);
}

Decision ToDecision(const ClosedConnection& closed) {
  const ReceptionRow& row = closed.row;
  return {Severity::kRoutine,
          "connection_closed",
          0,
          {{"reason", ToString(closed.reason)}, {"source", row.source}},
          {{"received_bytes", static_cast<std::int64_t>(row.received_bytes)},
           {"memory_bytes", static_cast<std::int64_t>(row.memory_bytes)},
           {"unsent_bytes", static_cast<std::int64_t>(row.unsent_bytes)}}};
}

}  // namespace

HttpLimits ServerLimits(const users_platform::NodeSettings& settings,
                        std::size_t max_body_bytes) {
  HttpLimits limits;
  limits.max_body_bytes = max_body_bytes;
  limits.max_connections = LimitsOf(settings, max_body_bytes).max_connections;
  return limits;
}

void LimitReception(asio::io_context& loop,
                    const users_platform::NodeSettings& settings,
                    std::size_t max_body_bytes,
                    std::function<void(const Decision&)> report) {
  ReceptionTable::Of(loop).SetLimits(
      LimitsOf(settings, max_body_bytes),
      [report = std::move(report)](const ClosedConnection& closed) {
        report(ToDecision(closed));
      });
}

std::vector<Gauge> WithReceptionGauges(asio::io_context& loop,
                                       std::vector<Gauge> gauges) {
  const ReceptionTable& table = ReceptionTable::Of(loop);
  gauges.push_back({"dottereltrack_reception_bytes",
                    "Memory of unfinished requests and frames", [&table] {
                      return static_cast<double>(table.memory_bytes());
                    }});
  gauges.push_back(
      {"dottereltrack_unsent_bytes", "Responses and frames not yet sent",
       [&table] { return static_cast<double>(table.unsent_bytes()); }});
  return gauges;
}

}  // namespace dottereltrack::pool
