#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/cell.h"
#include "core/pool/decision.h"
#include "runtime/http/http_server.h"
#include "runtime/log/event_log.h"

namespace dottereltrack::pool {

// A value that is read when the metrics are fetched.
struct Gauge {
  std::string name;
  std::string help;
  std::function<double()> read;
};

// Counts decisions and measures durations, and serves them as Prometheus text;
// docs/metrics.md lists the metrics. Serves a dump of the state, too.
class PoolMetrics {
 public:
  // `dump_state` is called for each request of the dump.
  PoolMetrics(asio::io_context& loop, std::vector<Gauge> gauges,
              std::function<std::string()> dump_state);
  ~PoolMetrics();
  PoolMetrics(const PoolMetrics&) = delete;
  PoolMetrics& operator=(const PoolMetrics&) = delete;

  void Count(const Decision& decision);
  // The metrics as text.
  std::string Render();
  // Serves them on the IP address; logs a line if the port cannot be used.
  void Listen(const std::string& host, EventLog& log);

 private:
  struct Families;

  HttpResponse Serve(const std::string& path);

  std::vector<Gauge> gauges_;
  std::function<std::string()> dump_state_;
  std::unique_ptr<Families> families_;
  HttpServer http_;
};

}  // namespace dottereltrack::pool
