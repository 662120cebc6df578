#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "endpoint/options.h"
#include "http/server.h"

namespace dottereltrack::standins {

// What has happened at the stand-in.
struct EndpointBoard {
  // Starts of each task, by "submission/task".
  std::map<std::string, std::uint64_t> starts;
  std::uint32_t running = 0;
  // Most tasks that ran at once.
  std::uint32_t most_running = 0;
  friend bool operator==(const EndpointBoard&, const EndpointBoard&) = default;
};

// The stand-in's HTTP interface: POST /run runs a task, GET /counts tells the
// starts of each task and how many run.
class TaskApi {
 public:
  TaskApi(asio::io_context& loop, const EndpointOptions& options);
  void Handle(const Request& request, const Reply& reply);
  // Calls back as soon as no task runs.
  void WhenIdle(std::function<void()> action);

 private:
  void Run(const Request& request, const Reply& reply);
  void End();
  void SendCounts(const Reply& reply) const;

  asio::io_context& loop_;
  EndpointOptions options_;
  EndpointBoard board_;
  std::function<void()> when_idle_;
};

}  // namespace dottereltrack::standins
