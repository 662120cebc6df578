#include "runtime/http/reception_report.h"

#include <algorithm>

#include "runtime/log/log.h"
#include "runtime/reception/reception_table.h"

namespace dottereltrack {

void LimitReception(asio::io_context& loop, const MachineLimits& machine,
                    const HttpLimits& http) {
  const std::size_t connections =
      std::min(http.max_connections,
               ConnectionsWithinDescriptors(machine.max_descriptors));
  const auto limits = DeriveReceptionLimits(machine.memory_mb, connections,
                                            http.max_body_bytes);
  ReceptionTable::Of(loop).SetLimits(limits, [](const ClosedConnection& it) {
    // The same text for all sources, so that repeated lines are counted.
    Log(LogPart::kHttp, LogLevel::kWarning,
        std::string("closed a connection: ") + ToString(it.reason) +
            "; see docs/design/untrusted-clients.md");
  });
}

std::string RenderReceptionMetrics(asio::io_context& loop,
                                   const std::string& prefix) {
  const ReceptionTable& table = ReceptionTable::Of(loop);
  std::string text = "# HELP " + prefix +
                     "reception_bytes Memory of unfinished requests and "
                     "frames.\n# TYPE " +
                     prefix + "reception_bytes gauge\n" + prefix +
                     "reception_bytes " + std::to_string(table.memory_bytes()) +
                     "\n# HELP " + prefix +
                     "connections_closed_total Connections closed because of "
                     "a limit.\n# TYPE " +
                     prefix + "connections_closed_total counter\n";
  for (const CloseReason reason : kCloseReasons) {
    text += prefix + "connections_closed_total{reason=\"" + ToString(reason) +
            "\"} " + std::to_string(table.CountClosed(reason)) + "\n";
  }
  return text;
}

}  // namespace dottereltrack
