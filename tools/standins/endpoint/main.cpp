// Stand-in for a minion, for tests and the demo.

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "endpoint/announcer.h"
#include "endpoint/options.h"
#include "endpoint/task_api.h"
#include "http/server.h"

namespace dottereltrack::standins {
namespace {

// Time until the connection of a dropped task is closed.
constexpr std::chrono::milliseconds kDropTimeout{300};

std::uint64_t RandomInstance() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

int Run(const std::vector<std::string>& arguments) {
  const auto options = ParseEndpointOptions(arguments);
  asio::io_context loop;
  TaskApi api(loop, options);
  ServerLimits limits;
  if (options.mode == TaskMode::kDrop) limits.reply_timeout = kDropTimeout;
  Server server(loop, limits, [&api](const auto& request, const auto& reply) {
    api.Handle(request, reply);
  });
  const auto port = server.Listen(options.host, options.port);
  if (!port) {
    std::cerr << "[endpoint] cannot listen on " << options.host
              << "; choose a free address and port\n";
    return 1;
  }
  std::cout << "listening on " << options.host << ":" << *port << std::endl;
  Announcer announcer(loop, options, *port, RandomInstance());
  announcer.Start();
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const std::error_code&, int) {
    announcer.Leave([&] { api.WhenIdle([&] { loop.stop(); }); });
  });
  loop.run();
  return 0;
}

}  // namespace
}  // namespace dottereltrack::standins

int main(int argc, char** argv) {
  try {
    return dottereltrack::standins::Run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "[endpoint] " << error.what() << "; see --help\n";
    return 1;
  }
}
