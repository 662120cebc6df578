#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "runtime/http/http_server.h"

namespace dottereltrack {

// What one process may use of its machine.
struct MachineLimits {
  // Memory of the machine in MiB. A quarter of it may hold unfinished requests.
  std::uint32_t memory_mb = 512;
  std::uint32_t max_descriptors = 4'100;
  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

// Limits what the connections of the event loop have in reception, and logs
// each connection that is closed.
void LimitReception(asio::io_context& loop, const MachineLimits& machine,
                    const HttpLimits& http);

// Returns the bytes in reception and the closed connections by reason in the
// Prometheus text format. `prefix` starts the names of the metrics.
std::string RenderReceptionMetrics(asio::io_context& loop,
                                   const std::string& prefix);

}  // namespace dottereltrack
