#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "endpoint/options.h"
#include "http/server.h"

namespace dottereltrack::standins {

// Task counts of the stand-in.
struct EndpointBoard {
  // Number of starts of each task, by "submission/task".
  std::map<std::string, std::uint64_t> starts;
  std::uint32_t running = 0;
  // Highest number of tasks that ran at once.
  std::uint32_t most_running = 0;
  friend bool operator==(const EndpointBoard&, const EndpointBoard&) = default;
};

// HTTP interface of the stand-in: POST /run runs a task; GET /counts returns
// the starts of each task, the number of running tasks and its maximum.
class TaskApi {
 public:
  TaskApi(asio::io_context& loop, const EndpointOptions& options);
  void Handle(const Request& request, const Reply& reply);
  // Calls `action` as soon as no task is running.
  void WhenIdle(std::function<void()> action);

 private:
  void Run(const Request& request, const Reply& reply);
  void FinishTask();
  void SendCounts(const Reply& reply) const;

  asio::io_context& loop_;
  EndpointOptions options_;
  EndpointBoard board_;
  std::function<void()> when_idle_;
};

}  // namespace dottereltrack::standins
