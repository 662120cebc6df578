#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "dottereltrack/http_client.h"
#include "endpoint/options.h"

namespace dottereltrack::standins {

// Announces the stand-in to its agent periodically, since an agent loses its
// state on a restart, and notifies the agent when the stand-in leaves.
class Announcer {
 public:
  // `instance` is a random number that identifies this run of the process.
  Announcer(asio::io_context& loop, const EndpointOptions& options,
            std::uint16_t port, std::uint64_t instance);
  void Start();
  // Stops the announcements and notifies the agent. Calls `done` when the agent
  // has answered or cannot be reached.
  void Leave(std::function<void()> done);

 private:
  void Announce();

  HttpClient http_;
  asio::steady_timer timer_;
  std::string agent_url_;
  std::string announcement_;
  bool is_leaving_ = false;
};

}  // namespace dottereltrack::standins
