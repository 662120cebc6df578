#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <vector>

#include "apps/pool_common/metrics.h"
#include "core/pool/decision.h"
#include "platform/settings.h"
#include "runtime/http/http_server.h"

namespace dottereltrack::pool {

// Largest body of a submission on the users' platform, and of a minion's
// report.
inline constexpr std::size_t kMaxSubmissionBytes = 256U << 10;
inline constexpr std::size_t kMaxReportBytes = 4U << 20;

// Returns the limits of each HTTP server of a daemon.
HttpLimits ServerLimits(const users_platform::NodeSettings& settings,
                        std::size_t max_body_bytes);

// Limits what all connections of the event loop have in reception, by the
// machine's memory and descriptors and the largest body of a server. Calls
// `report` for each connection that is closed.
void LimitReception(asio::io_context& loop,
                    const users_platform::NodeSettings& settings,
                    std::size_t max_body_bytes,
                    std::function<void(const Decision&)> report);

// Returns `gauges` and those of the bytes in reception.
std::vector<Gauge> WithReceptionGauges(asio::io_context& loop,
                                       std::vector<Gauge> gauges);

}  // namespace dottereltrack::pool
