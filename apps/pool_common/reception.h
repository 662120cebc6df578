#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <vector>

#include "apps/pool_common/metrics.h"
#include "core/pool/decision.h"
#include "platform/settings.h"
#include "runtime/http/http_server.h"

namespace dottereltrack::pool {

// Returns the limits of each HTTP server of a daemon.
HttpLimits ServerLimits(const users_platform::NodeSettings& settings);

// Limits what all connections of the event loop have in reception, by the
// machine's memory and descriptors. Calls `report` for each connection that is
// closed.
void LimitReception(asio::io_context& loop,
                    const users_platform::NodeSettings& settings,
                    std::function<void(const Decision&)> report);

// Returns `gauges` and those of the bytes in reception.
std::vector<Gauge> WithReceptionGauges(asio::io_context& loop,
                                       std::vector<Gauge> gauges);

}  // namespace dottereltrack::pool
