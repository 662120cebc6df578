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

// A gauge whose value is read on each scrape.
struct Gauge {
  std::string name;
  std::string help;
  std::function<double()> read;
};

// Counts decisions, records durations, and serves both in the Prometheus text
// format; docs/metrics.md lists the metrics. Also serves a JSON dump of the
// state.
class PoolMetrics {
 public:
  // `dump_state` is called for each request for the state.
  PoolMetrics(asio::io_context& loop, const HttpLimits& limits,
              std::vector<Gauge> gauges,
              std::function<std::string()> dump_state);
  ~PoolMetrics();
  PoolMetrics(const PoolMetrics&) = delete;
  PoolMetrics& operator=(const PoolMetrics&) = delete;

  void Count(const Decision& decision);
  // Returns the metrics in the Prometheus text format.
  std::string Render();
  // Starts serving on this IP address. Logs an event if the port cannot be
  // bound.
  void Listen(const std::string& host, EventLog& log);

 private:
  struct Families;

  HttpResponse Serve(const std::string& path);

  std::vector<Gauge> gauges_;
  std::function<std::string()> dump_state_;
  std::unique_ptr<Families> families_;
  HttpServer http_server_;
};

}  // namespace dottereltrack::pool
